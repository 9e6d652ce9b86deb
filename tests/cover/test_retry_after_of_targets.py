"""Targets that turn calls away with 503 and say for how long."""

from __future__ import annotations

import asyncio
import types

import pytest

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario
from tests.target_records import SERVICE, record
from wagtailhollow.internal.directory import follow, state
from wagtailhollow.internal.entry.direct import targets
from wagtailhollow.internal.http1 import connection

CALLS = 12
CALL = types.SimpleNamespace(service_name=SERVICE, regions=None)


async def turn_away(site, route, *engines):
    """Call until each engine has turned one call away."""
    for engine in engines:
        engine.behaviours = ['shed']
    for number in range(200):
        if not any(engine.behaviours for engine in engines):
            return
        async with site.call(route, f'r{number}') as resp:
            await resp.read()
    raise AssertionError('a target received no call')


@pytest.mark.parametrize('route', ['stream', 'once', 'safe'])
def test_target_gets_no_calls_for_the_time_it_asked_for(route):
    """Guards against calls to a target that asked for none for a while."""

    async def scenario(site):
        engine, _ = site.engines_of(
            direct_deployment.MODEL_SERVICE
            if route == 'stream'
            else direct_deployment.PLAIN_SERVICE
        )
        engine.retry_after = '1.6'
        await turn_away(site, route, engine)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        before = len(engine.received)
        number = 0
        while loop.time() < start_s + 1.4:
            async with site.call(route, f'a{number}') as resp:
                assert resp.status == 200
                await resp.read()
            number += 1
            await asyncio.sleep(0.05)
        assert len(engine.received) == before
        await asyncio.sleep(0.4)
        for number in range(CALLS):
            async with site.call(route, f'b{number}') as resp:
                await resp.read()
        assert len(engine.received) > before, 'it is used again'

    run_scenario(scenario)


def test_calls_are_refused_at_once_while_all_targets_want_none():
    """Guards against calls that are held, or told a time that is too short."""

    async def scenario(site):
        engines = site.engines_of(direct_deployment.PLAIN_SERVICE)
        for engine in engines:
            engine.retry_after = '30'
        await turn_away(site, 'safe', *engines)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with site.call('once', 'last') as resp:
            assert resp.status == 503
            assert 25 < float(resp.headers['retry-after']) <= 30
        assert loop.time() - start_s < 0.2

    run_scenario(scenario)


def test_calls_wait_for_a_target_that_is_back_soon():
    """Guards against refusals although a target will take the call."""

    async def scenario(site):
        engines = site.engines_of(direct_deployment.PLAIN_SERVICE)
        for engine in engines:
            engine.retry_after = '0.5'
        await turn_away(site, 'safe', *engines)
        async with site.call('once', 'last') as resp:
            assert resp.status == 200

    run_scenario(scenario)


class View:
    """Targets of one entry, with a fake clock."""

    def __init__(self, count):
        self.now_s = 100.0
        self.directory = state.Directory(lambda: self.now_s)
        self.register(*map(record, range(count)))
        self.targets = targets.DirectTargets(
            self.directory, clock=lambda: self.now_s
        )

    def register(self, *records):
        """Make these the registered targets."""
        documents = {item.name: item for item in records}
        self.directory.apply_targets(follow.Update(documents, 1, True, False))

    def names(self):
        """Return the targets that may get a call."""
        self.now_s += targets.LIST_AGE_S * 2
        return {
            item.target
            for item in self.targets.candidates(
                types.SimpleNamespace(
                    **vars(CALL), route=types.SimpleNamespace(gap_s=0)
                )
            )
        }


def test_time_holds_over_a_lapse_but_not_over_a_restart():
    """Guards against a time that is lost, or kept by the next start."""
    view = View(2)
    view.targets.turned_away(record(0), 60.0)
    assert view.names() == {'i-1'}
    assert view.targets.current('i-0') is None
    view.register(record(1))
    view.targets.forget_removed_targets()
    view.register(record(0), record(1))
    assert view.names() == {'i-1'}
    view.register(record(0, started_ms=2), record(1))
    assert view.names() == {'i-0', 'i-1'}


def test_shorter_time_does_not_end_a_longer_one():
    """Guards against calls after a second answer with a shorter time."""
    view = View(2)
    view.targets.turned_away(record(0), 60.0)
    view.targets.turned_away(record(0), 1.0)
    view.now_s += 30.0
    assert view.names() == {'i-1'}
    view.now_s += 31.0
    assert view.names() == {'i-0', 'i-1'}


def test_soonest_target_ends_the_wait():
    """Guards against a wait for the target that is away longest."""
    view = View(2)
    view.targets.turned_away(record(0), 60.0)
    assert view.targets.unavailable_s(CALL) == 0.0
    view.targets.turned_away(record(1), 20.0)
    assert view.targets.unavailable_s(CALL) == pytest.approx(20.0)


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [
        (b'2', 2.0),
        (b' 0.25 ', 0.25),
        (b'', None),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e9', None),
        (b'Sat, 05 Dec 2026 00:00:00 GMT', None),
        (b'9' * 400, None),
    ],
)
def test_only_seconds_are_read(value, seconds):
    """Guards against targets that are left out for ever by a bad header."""
    head = connection.Head(503, ((b'retry-after', value),))
    assert head.retry_after_s() == seconds
