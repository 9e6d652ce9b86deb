"""Streams of slow engines, which are sound, and streams that have stalled.

A sound stream has events, however slowly; a stalled one may still send bytes
now and then.
"""

from __future__ import annotations

import asyncio

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario
from wagtailhollow.internal.entry.direct import caller_timeouts


def test_stalled_stream_that_sends_bytes_is_resumed():
    """Guards against a stream that is kept by bytes which are no events."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.MODEL_SERVICE, 'dribble')
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        async with site.call('stream', X_Deadline_Ms='8000') as resp:
            assert await resp.read() == direct_deployment.STREAM
        # Callers leave a stream without an event after MIN_EVENT_TIMEOUT_S.
        took_s = loop.time() - start_s
        assert took_s < caller_timeouts.MIN_EVENT_TIMEOUT_S
        assert site.request_count(direct_deployment.MODEL_SERVICE) == 2

    run_scenario(scenario)


def test_slow_stream_with_events_is_not_cut():
    """Guards against work that is run again although it goes on."""

    async def scenario(site):
        for engine in site.engines_of(direct_deployment.MODEL_SERVICE):
            engine.gap_s = 1.0
        async with site.call('stream', X_Deadline_Ms='30000') as resp:
            for _ in range(3):
                await resp.content.readuntil(b'\n\n')
        assert site.request_count(direct_deployment.MODEL_SERVICE) == 1

    run_scenario(scenario)


def test_stream_of_a_group_in_slow_passes_is_kept():
    """Guards against cutting streams while one pass takes over a second."""

    async def scenario(site):
        for engine in site.engines_of(direct_deployment.MODEL_SERVICE):
            engine.gap_s = 1.4

        async def keep_reporting():
            while True:  # Passes of 0.8 s: slow, but not stalled.
                for engine in site.engines_of(direct_deployment.MODEL_SERVICE):
                    site.entry._targets.record_report(
                        engine.name, 1, 0, True, 'g', 0.8
                    )
                await asyncio.sleep(0.2)

        reports = asyncio.create_task(keep_reporting())
        async with site.call('stream', X_Deadline_Ms='60000') as resp:
            for _ in range(3):
                await resp.content.readuntil(b'\n\n')
        reports.cancel()
        assert site.request_count(direct_deployment.MODEL_SERVICE) == 1

    run_scenario(scenario)
