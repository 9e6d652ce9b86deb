"""End-to-end tests of an entry that calls targets directly, over loopback."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from standins import direct_deployment

CALLER_EVENT_TIMEOUT_S = 2.0
"""Time without an event after which the platform's callers disconnect."""


def run_scenario(scenario, **fields):
    """Run *scenario* on a new in-process deployment.

    :param fields: parameters of the deployment.
    """

    async def run():
        async with direct_deployment.DirectDeployment(**fields) as site:
            await asyncio.wait_for(scenario(site), 20)

    asyncio.run(run())


def test_stream_and_receipt_are_relayed_unchanged():
    """Guards against altered bytes, forwarded keys and extended deadlines.

    The receipt is the header x-engine-signature.
    """

    async def scenario(site):
        async with site.call('stream', path='a%2Fb?c=1') as resp:
            assert resp.status == 200
            assert resp.headers[direct_deployment.SIGNATURE_HEADER].startswith(
                'i-'
            )
            assert resp.headers['x-request-id'] == 'r1'
            assert await resp.read() == direct_deployment.STREAM
        (engine,) = [
            item
            for item in site.engines_of(direct_deployment.MODEL_SERVICE)
            if item.received
        ]
        (seen,) = engine.received
        assert seen.path == '/stream/a%2Fb'
        assert seen.headers['x-tenant'] == 'org-1'
        assert seen.headers['x-expect-instance'] == engine.name
        assert 'x-key' not in seen.headers
        assert 1500 < int(seen.headers['x-deadline-ms']) <= 2500

    run_scenario(scenario)


def test_interrupted_stream_resumes_at_another_target():
    """Guards against lost, duplicated or merged events after a failover."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.MODEL_SERVICE, 'break')
        async with site.call('stream') as resp:
            body = b''
            with pytest.raises(aiohttp.ClientPayloadError):
                while True:
                    data = await resp.content.readany()
                    if not data:
                        break
                    body += data
        # Both allowed attempts broke off, after a prefix of whole events.
        assert direct_deployment.STREAM.startswith(body) and body.endswith(
            b'\n\n'
        )
        site.engines_of(direct_deployment.MODEL_SERVICE)[0].behaviours = [
            'break'
        ]
        site.engines_of(direct_deployment.MODEL_SERVICE)[1].behaviours = []
        for number in range(4):
            async with site.call('stream', f'r{number}') as resp:
                assert await resp.read() == direct_deployment.STREAM

    run_scenario(scenario)


def test_stream_fails_over_if_target_freezes_before_response_head():
    """Guards against a resumed host that works for callers that have left.

    A host freezes with its agent just after it received calls; callers
    disconnect after 2 s without an event.
    """

    async def scenario(site):
        frozen, other = site.engines_of(direct_deployment.MODEL_SERVICE)
        frozen.behaviours = ['hang']
        for engine in (frozen, other):
            # The only load report; none follows.
            site.entry._targets.record_report(engine.name, 0, 0, True, 'g')
        loop = asyncio.get_running_loop()
        number = 0
        while not frozen.received:
            number += 1
            start_s = loop.time()
            async with asyncio.timeout(CALLER_EVENT_TIMEOUT_S):
                async with site.call('stream', f'r{number}') as resp:
                    assert await resp.read() == direct_deployment.STREAM
        assert loop.time() - start_s < CALLER_EVENT_TIMEOUT_S
        await asyncio.sleep(0.1)
        assert frozen.received[0].disconnected, (
            'the frozen target stops the call'
        )

    run_scenario(scenario)


def test_stream_ending_inside_an_event_is_incomplete():
    """Guards against a truncated stream that looks complete."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.MODEL_SERVICE, 'torn')
        async with site.call('stream', 'r1') as resp:
            with pytest.raises(aiohttp.ClientPayloadError):
                await resp.read()
        site.engines_of(direct_deployment.MODEL_SERVICE)[0].behaviours = [
            'torn'
        ]
        for number in range(2, 6):
            async with site.call('stream', f'r{number}') as resp:
                assert await resp.read() == direct_deployment.STREAM

    run_scenario(scenario)


def test_resumed_stream_has_highest_priority():
    """Guards against interrupted streams that queue behind new calls."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.MODEL_SERVICE, 'break', 'break')
        async with site.call('stream') as resp:
            with pytest.raises(aiohttp.ClientPayloadError):
                await resp.read()
        seen = [
            item.headers['x-request-priority']
            for engine in site.engines_of(direct_deployment.MODEL_SERVICE)
            for item in engine.received
        ]
        assert sorted(seen) == ['0', '1']

    run_scenario(scenario)


def test_503_without_not_executed_header_is_not_relayed():
    """Guards against reporting an executed call as not run."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.PLAIN_SERVICE, 'busy')
        async with site.call('once') as resp:
            assert resp.status in (502, 504)
            assert direct_deployment.SIGNATURE_HEADER not in resp.headers
        assert site.request_count(direct_deployment.PLAIN_SERVICE) == 1

    run_scenario(scenario)


def test_once_call_is_not_resent_after_a_lost_response():
    """Guards against a call that runs twice, or is refused although it ran."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.PLAIN_SERVICE, 'cut')
        async with site.call('once') as resp:
            assert resp.status == 502
        assert site.request_count(direct_deployment.PLAIN_SERVICE) == 1

    run_scenario(scenario)


def test_unexecuted_call_is_sent_to_another_target():
    """Guards against a refusal while another target has capacity."""

    async def scenario(site):
        one, two = site.engines_of(direct_deployment.PLAIN_SERVICE)
        one.behaviours = ['shed']
        two.behaviours = ['wrong']
        async with site.call('once') as resp:
            assert resp.status == 200
            assert await resp.read() == b'answer to /once/p'
        assert site.request_count(direct_deployment.PLAIN_SERVICE) in (2, 3)

    run_scenario(scenario)


def test_refusal_by_full_targets_has_retry_after():
    """Guards against a refusal without Retry-After and an unbounded wait."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.PLAIN_SERVICE, *['shed'] * 20)
        async with site.call('once') as resp:
            assert resp.status == 503
            assert float(resp.headers['retry-after']) > 0

    run_scenario(scenario)


def test_repeatable_call_is_retried_after_500():
    """Guards against a failed call that could have been retried."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.PLAIN_SERVICE, 'fail')
        async with site.call('safe') as resp:
            # Both targets failed, so the last response is relayed unchanged.
            assert resp.status == 500
            assert await resp.read() == b'failed'
            assert direct_deployment.SIGNATURE_HEADER in resp.headers
        assert site.request_count(direct_deployment.PLAIN_SERVICE) == 2
        async with site.call('safe', 'r2') as resp:
            assert resp.status == 200

    run_scenario(scenario)


def test_success_without_a_receipt_is_not_relayed():
    """Guards against response bytes that no engine has signed."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.PLAIN_SERVICE, 'bare')
        async with site.call('once') as resp:
            assert resp.status == 502

    run_scenario(scenario)


def test_withdrawn_key_is_refused():
    """Guards against keys that stay valid after their withdrawal."""

    async def scenario(site):
        site.store.put(
            'config', 'main', direct_deployment.manifest(2, keys=['other'])
        )
        await asyncio.sleep(0.3)
        async with site.call('stream') as resp:
            assert resp.status == 401
        async with site.call('stream', key='other') as resp:
            assert resp.status == 200

    run_scenario(scenario)


@pytest.mark.parametrize('mode', ['silent', 'busy'])
def test_keys_are_refused_while_the_store_is_unavailable(mode):
    """Guards against serving a withdrawn key while cut off from the store."""

    async def scenario(site):
        site.store.mode = mode
        await asyncio.sleep(2.0)
        async with site.call('stream') as resp:
            assert resp.status == 503
            assert 'retry-after' in resp.headers
        # Calls without a key do not depend on the store.
        async with site.call('safe', 'r2') as resp:
            assert resp.status == 200
        assert await site.readiness() == 503
        site.store.mode = 'ok'
        await asyncio.sleep(2.5)
        async with site.call('stream', 'r3') as resp:
            assert resp.status == 200

    run_scenario(scenario)


def test_manifest_is_reread_after_410():
    """Guards against a manifest that stays outdated.

    The store answers a watch with 410 if it no longer has the changes since
    the revision that the entry knows.
    """

    async def scenario(site):
        site.store.mode = 'gone'
        await asyncio.sleep(0.2)
        site.store.put(
            'config', 'main', direct_deployment.manifest(2, keys=['other'])
        )
        await asyncio.sleep(3.0)
        async with site.call('stream', key='other') as resp:
            assert resp.status == 200

    run_scenario(scenario)


def test_unknown_path_is_not_found():
    """Guards against sending a call without a route to a target."""

    async def scenario(site):
        async with site.call('nowhere') as resp:
            assert resp.status == 404
        assert not any(engine.received for engine in site.engines)

    run_scenario(scenario)


def test_target_stops_work_after_caller_disconnects():
    """Guards against engines that work for a caller that has left."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.PLAIN_SERVICE, 'hang')
        call = asyncio.create_task(site.call('once').__aenter__())
        await asyncio.sleep(0.3)
        call.cancel()
        await asyncio.sleep(0.4)
        seen = [
            item
            for engine in site.engines_of(direct_deployment.PLAIN_SERVICE)
            for item in engine.received
        ]
        assert [item.disconnected for item in seen] == [True]

    run_scenario(scenario)


def test_deadline_ends_call_with_504():
    """Guards against keeping a caller waiting past its deadline."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.PLAIN_SERVICE, 'hang')
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with site.call('once', X_Deadline_Ms='600') as resp:
            assert resp.status == 504
        assert 0.5 < loop.time() - start_s < 1.1

    run_scenario(scenario)


def test_body_that_never_ends_is_refused_at_the_deadline():
    """Guards against requests that send a byte now and then for ever."""

    async def scenario(site):
        async def dribble():
            while True:
                yield b'x'
                await asyncio.sleep(0.05)

        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with site.session.post(
            f'http://{site.ip}:8227/once/p',
            data=dribble(),
            headers={
                'Host': direct_deployment.HOST_NAME,
                'X-Request-Id': 'r1',
                'X-Key': direct_deployment.API_KEY,
                'X-Deadline-Ms': '500',
            },
        ) as resp:
            assert resp.status == 408
        assert 0.4 < loop.time() - start_s < 1.5
        assert site.request_count(direct_deployment.PLAIN_SERVICE) == 0

    run_scenario(scenario)


def test_withdrawn_data_centre_gets_no_calls():
    """Guards against calls to a withdrawn data centre."""

    async def scenario(site):
        site.store.put('evacuations', 'dc-1', {})
        await asyncio.sleep(0.3)
        async with site.call('once', X_Deadline_Ms='700') as resp:
            assert resp.status == 503
        assert site.request_count(direct_deployment.PLAIN_SERVICE) == 0
        site.store.delete('evacuations', 'dc-1')
        await asyncio.sleep(0.3)
        async with site.call('once', 'r2') as resp:
            assert resp.status == 200

    run_scenario(scenario)


def test_draining_entry_completes_responses():
    """Guards against responses truncated by a planned stop."""

    async def scenario(site):
        for engine in site.engines_of(direct_deployment.MODEL_SERVICE):
            engine.gap_s = 0.1
        async with site.call('stream') as resp:
            drain = asyncio.create_task(site.entry.drain())
            await asyncio.sleep(0.05)
            assert await site.readiness() == 503
            assert await resp.read() == direct_deployment.STREAM
        async with site.call('safe', 'r2') as resp:
            assert resp.status == 200
            assert resp.headers['connection'] == 'close'
        drain.cancel()

    run_scenario(scenario)


def test_stopping_entry_answers_every_accepted_request():
    """Guards against requests accepted late and dropped at the exit."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.PLAIN_SERVICE, *['hang'] * 1000)
        results = []

        async def send_call(number):
            try:
                async with site.call(
                    'once', f'r{number}', X_Deadline_Ms='700'
                ) as resp:
                    results.append(resp.status)
            except aiohttp.ClientConnectorError:
                results.append('not accepted')

        drain = asyncio.create_task(site.entry.drain())
        pending = []
        while not drain.done():
            pending.append(asyncio.create_task(send_call(len(pending))))
            await asyncio.sleep(0.05)
        await asyncio.gather(*pending)
        await drain
        assert set(results) == {504, 'not accepted'}

    run_scenario(scenario)
