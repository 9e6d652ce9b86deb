"""The whole path of an entry that calls targets itself, over loopback."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from standins import deployed

CALLER_PATIENCE_S = 2.0
"""Silence after which callers on the users' platform leave a stream."""


def play(scenario):
    """Run *scenario* against a new small deployment."""

    async def go():
        async with deployed.Deployed() as site:
            await asyncio.wait_for(scenario(site), 20)

    asyncio.run(go())


def test_stream_arrives_unchanged_with_its_receipt():
    """Guards against changed bytes, and keys or deadlines that leak."""

    async def scenario(site):
        async with site.call('stream', path='a%2Fb?c=1') as resp:
            assert resp.status == 200
            assert resp.headers[deployed.RECEIPT].startswith('i-')
            assert resp.headers['x-request-id'] == 'r1'
            assert await resp.read() == deployed.STREAM
        (engine,) = [item for item in site.of(deployed.SERVICE) if item.seen]
        (seen,) = engine.seen
        assert seen.path == '/stream/a%2Fb'
        assert seen.headers['x-tenant'] == 'org-1'
        assert seen.headers['x-expect-instance'] == engine.name
        assert 'x-key' not in seen.headers
        assert 1500 < int(seen.headers['x-deadline-ms']) <= 2500

    play(scenario)


def test_broken_stream_goes_on_at_another_target():
    """Guards against lost, doubled or joined events of two runs."""

    async def scenario(site):
        site.behave(deployed.SERVICE, 'break')
        async with site.call('stream') as resp:
            body = b''
            with pytest.raises(aiohttp.ClientPayloadError):
                while True:
                    data = await resp.content.readany()
                    if not data:
                        break
                    body += data
        # Two attempts are allowed, both broke: what came is a whole prefix.
        assert deployed.STREAM.startswith(body) and body.endswith(b'\n\n')
        site.of(deployed.SERVICE)[0].behaviours = ['break']
        site.of(deployed.SERVICE)[1].behaviours = []
        for number in range(4):
            async with site.call('stream', f'r{number}') as resp:
                assert await resp.read() == deployed.STREAM

    play(scenario)


def test_stream_goes_on_elsewhere_when_its_target_froze_before_the_head():
    """Guards against work for callers who left, once the host wakes up.

    Pattern: a host freezes just after it got calls. Its agent falls silent
    with it, and callers leave after 2 s without an event.
    """

    async def scenario(site):
        frozen, other = site.of(deployed.SERVICE)
        frozen.behaviours = ['hang']
        for engine in (frozen, other):
            # The only report that will come; silence follows.
            site.entry._targets.record_report(engine.name, 0, 0, True, 'g')
        loop = asyncio.get_running_loop()
        number = 0
        while not frozen.seen:
            number += 1
            began_s = loop.time()
            async with asyncio.timeout(CALLER_PATIENCE_S):
                async with site.call('stream', f'r{number}') as resp:
                    assert await resp.read() == deployed.STREAM
        assert loop.time() - began_s < CALLER_PATIENCE_S
        await asyncio.sleep(0.1)
        assert frozen.seen[0].ended, 'the work for the call ends'

    play(scenario)


def test_stream_that_ends_inside_an_event_is_not_whole():
    """Guards against a stream that looks complete before its last event."""

    async def scenario(site):
        site.behave(deployed.SERVICE, 'torn')
        async with site.call('stream', 'r1') as resp:
            with pytest.raises(aiohttp.ClientPayloadError):
                await resp.read()
        site.of(deployed.SERVICE)[0].behaviours = ['torn']
        for number in range(2, 6):
            async with site.call('stream', f'r{number}') as resp:
                assert await resp.read() == deployed.STREAM

    play(scenario)


def test_broken_stream_is_admitted_first():
    """Guards against callers who wait in a queue for the next event."""

    async def scenario(site):
        site.behave(deployed.SERVICE, 'break', 'break')
        async with site.call('stream') as resp:
            with pytest.raises(aiohttp.ClientPayloadError):
                await resp.read()
        seen = [
            item.headers['x-request-priority']
            for engine in site.of(deployed.SERVICE)
            for item in engine.seen
        ]
        assert sorted(seen) == ['0', '1']

    play(scenario)


def test_answer_that_would_deny_an_execution_is_not_passed_on():
    """Guards against a status that promises that an order never runs."""

    async def scenario(site):
        site.behave(deployed.PLAIN, 'busy')
        async with site.call('once') as resp:
            assert resp.status in (502, 504)
            assert deployed.RECEIPT not in resp.headers
        assert site.runs(deployed.PLAIN) == 1

    play(scenario)


def test_call_that_runs_once_is_not_sent_again_after_a_lost_answer():
    """Guards against an order placed twice, or refused although it ran."""

    async def scenario(site):
        site.behave(deployed.PLAIN, 'cut')
        async with site.call('once') as resp:
            assert resp.status == 502
        assert site.runs(deployed.PLAIN) == 1

    play(scenario)


def test_call_that_was_not_executed_is_sent_elsewhere():
    """Guards against a refusal while another target has room."""

    async def scenario(site):
        one, two = site.of(deployed.PLAIN)
        one.behaviours = ['shed']
        two.behaviours = ['wrong']
        async with site.call('once') as resp:
            assert resp.status == 200
            assert await resp.read() == b'answer to /once/p'
        assert site.runs(deployed.PLAIN) in (2, 3)

    play(scenario)


def test_full_targets_give_a_refusal_that_says_when_to_return():
    """Guards against a refusal without a time, and against an endless wait."""

    async def scenario(site):
        site.behave(deployed.PLAIN, *['shed'] * 20)
        async with site.call('once') as resp:
            assert resp.status == 503
            assert float(resp.headers['retry-after']) > 0

    play(scenario)


def test_failure_of_one_target_is_repaired_by_another():
    """Guards against an error for a call that may be repeated."""

    async def scenario(site):
        site.behave(deployed.PLAIN, 'fail')
        async with site.call('safe') as resp:
            # Both failed, so the last answer is passed on as it is.
            assert resp.status == 500
            assert await resp.read() == b'failed'
            assert deployed.RECEIPT in resp.headers
        assert site.runs(deployed.PLAIN) == 2
        async with site.call('safe', 'r2') as resp:
            assert resp.status == 200

    play(scenario)


def test_success_without_a_receipt_is_not_passed_on():
    """Guards against bytes that no engine vouches for."""

    async def scenario(site):
        site.behave(deployed.PLAIN, 'bare')
        async with site.call('once') as resp:
            assert resp.status == 502

    play(scenario)


def test_withdrawn_key_is_refused_soon():
    """Guards against keys that stay valid after the operator took them."""

    async def scenario(site):
        site.store.put('config', 'main', deployed.manifest(2, keys=['other']))
        await asyncio.sleep(0.3)
        async with site.call('stream') as resp:
            assert resp.status == 401
        async with site.call('stream', key='other') as resp:
            assert resp.status == 200

    play(scenario)


@pytest.mark.parametrize('mode', ['silent', 'busy'])
def test_key_is_not_served_when_the_store_cannot_be_heard(mode):
    """Guards against a withdrawn key at an entry cut off from the store."""

    async def scenario(site):
        site.store.mode = mode
        await asyncio.sleep(2.0)
        async with site.call('stream') as resp:
            assert resp.status == 503
            assert 'retry-after' in resp.headers
        # Calls without a key do not depend on it.
        async with site.call('safe', 'r2') as resp:
            assert resp.status == 200
        assert await site.readiness() == 503
        site.store.mode = 'ok'
        await asyncio.sleep(2.5)
        async with site.call('stream', 'r3') as resp:
            assert resp.status == 200

    play(scenario)


def test_lost_history_of_the_store_is_survived():
    """Guards against a manifest that stays old after a 410."""

    async def scenario(site):
        site.store.mode = 'gone'
        await asyncio.sleep(0.2)
        site.store.put('config', 'main', deployed.manifest(2, keys=['other']))
        await asyncio.sleep(3.0)
        async with site.call('stream', key='other') as resp:
            assert resp.status == 200

    play(scenario)


def test_unknown_path_is_not_found():
    """Guards against a call that reaches a target without a route."""

    async def scenario(site):
        async with site.call('nowhere') as resp:
            assert resp.status == 404
        assert not any(engine.seen for engine in site.engines)

    play(scenario)


def test_work_ends_soon_after_the_caller_left():
    """Guards against engines that work for nobody."""

    async def scenario(site):
        site.behave(deployed.PLAIN, 'hang')
        call = asyncio.create_task(site.call('once').__aenter__())
        await asyncio.sleep(0.3)
        call.cancel()
        await asyncio.sleep(0.4)
        seen = [
            item for engine in site.of(deployed.PLAIN) for item in engine.seen
        ]
        assert [item.ended for item in seen] == [True]

    play(scenario)


def test_route_timeout_gets_a_final_answer():
    """Guards against callers that are kept beyond the operator's time."""

    async def scenario(site):
        site.behave(deployed.PLAIN, 'hang')
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        async with site.call('once', X_Deadline_Ms='600') as resp:
            assert resp.status == 504
        assert 0.5 < loop.time() - began_s < 1.1

    play(scenario)


def test_evacuated_data_centre_gets_no_calls():
    """Guards against calls to a data centre that was withdrawn."""

    async def scenario(site):
        site.store.put('evacuations', 'dc-1', {})
        await asyncio.sleep(0.3)
        async with site.call('once', X_Deadline_Ms='700') as resp:
            assert resp.status == 503
        assert site.runs(deployed.PLAIN) == 0
        site.store.delete('evacuations', 'dc-1')
        await asyncio.sleep(0.3)
        async with site.call('once', 'r2') as resp:
            assert resp.status == 200

    play(scenario)


def test_draining_entry_finishes_its_answers():
    """Guards against answers cut by a planned stop."""

    async def scenario(site):
        for engine in site.of(deployed.SERVICE):
            engine.gap_s = 0.1
        async with site.call('stream') as resp:
            drain = asyncio.create_task(site.entry.drain())
            await asyncio.sleep(0.05)
            assert await site.readiness() == 503
            assert await resp.read() == deployed.STREAM
        async with site.call('safe', 'r2') as resp:
            assert resp.status == 200
            assert resp.headers['connection'] == 'close'
        drain.cancel()

    play(scenario)


def test_stopping_entry_answers_every_request_that_it_took():
    """Guards against requests taken late and dropped with the process."""

    async def scenario(site):
        site.behave(deployed.PLAIN, *['hang'] * 1000)
        results = []

        async def ask(number):
            try:
                async with site.call(
                    'once', f'r{number}', X_Deadline_Ms='700'
                ) as resp:
                    results.append(resp.status)
            except aiohttp.ClientConnectorError:
                results.append('not accepted')

        drain = asyncio.create_task(site.entry.drain())
        asks = []
        while not drain.done():
            asks.append(asyncio.create_task(ask(len(asks))))
            await asyncio.sleep(0.05)
        await asyncio.gather(*asks)
        await drain
        assert set(results) == {504, 'not accepted'}

    play(scenario)
