"""Tests of targets that say in their answers that they are leaving.

The store's news of a leaving target can be late or missing: the store may be
silent, cut off or slow, and some targets never register that they leave.
"""

from __future__ import annotations

import asyncio

import pytest

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario

CALLS = 12
"""A target that takes calls misses all of these once in 4,000 runs."""


async def call_until_received(site, engine, route, prefix='r'):
    """Call until *engine* has answered one of the calls."""
    before = len(engine.received)
    for number in range(200):
        async with site.call(route, f'{prefix}{number}') as resp:
            await resp.read()
        if len(engine.received) > before:
            return
    raise AssertionError('the target received no call')


async def assert_gets_no_calls(site, engine, route):
    """Make further calls; none may reach *engine*, and all are answered."""
    before = len(engine.received)
    for number in range(CALLS):
        async with site.call(route, f'after{number}') as resp:
            assert resp.status == 200
            await resp.read()
    assert len(engine.received) == before


SERVICES = {
    'stream': direct_deployment.MODEL_SERVICE,
    'once': direct_deployment.PLAIN_SERVICE,
    'safe': direct_deployment.PLAIN_SERVICE,
}


@pytest.mark.parametrize('mode', ['ok', 'silent', 'busy'])
@pytest.mark.parametrize('route', SERVICES)
def test_target_that_says_it_leaves_gets_no_further_calls(route, mode):
    """Guards against calls to a leaving target that the store calls ready."""

    async def scenario(site):
        engine, _ = site.engines_of(SERVICES[route])
        site.store.mode = mode
        engine.is_leaving = True
        await call_until_received(site, engine, route)
        await assert_gets_no_calls(site, engine, route)

    run_scenario(scenario)


@pytest.mark.parametrize('behaviour', ['shed', 'fail', 'busy', 'bare'])
def test_failure_of_a_leaving_target_tells_that_it_leaves(behaviour):
    """Guards against a header that is read from successful answers only."""

    async def scenario(site):
        engine, _ = site.engines_of(direct_deployment.PLAIN_SERVICE)
        engine.is_leaving = True
        engine.behaviours = [behaviour]
        await call_until_received(site, engine, 'safe')
        # The pause after a failure is over by then.
        await asyncio.sleep(1.1)
        await assert_gets_no_calls(site, engine, 'safe')

    run_scenario(scenario)


def test_leaving_target_is_known_from_the_head_of_a_stream():
    """Guards against calls to a leaving target while its stream goes on."""

    async def scenario(site):
        engine, _ = site.engines_of(direct_deployment.MODEL_SERVICE)
        engine.is_leaving = True
        engine.gap_s = 0.1
        streams = []
        for number in range(200):
            resp = await site.call('stream', f'r{number}')
            streams.append(resp)
            if engine.received:
                break
        await assert_gets_no_calls(site, engine, 'stream')
        for resp in streams:
            assert await resp.read() == direct_deployment.STREAM

    run_scenario(scenario)


def test_registration_does_not_bring_a_leaving_target_back():
    """Guards against a late registration that still calls the target ready."""

    async def scenario(site):
        engine, _ = site.engines_of(direct_deployment.PLAIN_SERVICE)
        engine.is_leaving = True
        await call_until_received(site, engine, 'safe')
        site.store.put('servers', engine.name, engine.registration(seq=2))
        await asyncio.sleep(0.5)
        await assert_gets_no_calls(site, engine, 'safe')
        # It leaves the list and is back in it, as after an outage.
        site.store.delete('servers', engine.name)
        await asyncio.sleep(0.5)
        site.store.put('servers', engine.name, engine.registration(seq=3))
        await asyncio.sleep(0.5)
        await assert_gets_no_calls(site, engine, 'safe')

    run_scenario(scenario)


def test_later_start_of_a_target_that_left_gets_calls():
    """Guards against a target that stays out after its restart."""

    async def scenario(site):
        engine, _ = site.engines_of(direct_deployment.PLAIN_SERVICE)
        engine.is_leaving = True
        await call_until_received(site, engine, 'safe')
        engine.is_leaving = False
        born = engine.registration()['born'] + 1
        site.store.put('servers', engine.name, engine.registration(born=born))
        await asyncio.sleep(0.5)
        await call_until_received(site, engine, 'safe', 'again')

    run_scenario(scenario)


def test_waiting_calls_are_refused_when_the_last_target_leaves():
    """Guards against calls that are held although no target will take them."""

    async def scenario(site):
        for engine in site.engines_of(direct_deployment.PLAIN_SERVICE):
            engine.is_leaving = True
            await call_until_received(site, engine, 'safe', engine.name)
        before = site.request_count(direct_deployment.PLAIN_SERVICE)
        async with site.call('once', 'last') as resp:
            assert resp.status == 503
            assert 'retry-after' in resp.headers
        assert site.request_count(direct_deployment.PLAIN_SERVICE) == before

    run_scenario(scenario)
