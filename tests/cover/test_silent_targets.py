"""Streams whose targets are silent for a while and then go on.

The failure: a stream is given up because its target has been silent, although
nothing else can serve it; its caller gets less than the target had.
"""

from __future__ import annotations

import pytest

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario

SILENCE_S = 2.2
"""Longer than a stream may be idle before it is resumed elsewhere."""


def set_silence(site, event_number):
    for engine in site.engines_of(direct_deployment.MODEL_SERVICE):
        engine.silence_before = {event_number: SILENCE_S}


@pytest.mark.parametrize('event_number', [1, 5])
def test_stream_is_kept_while_its_last_target_is_silent(event_number):
    """Guards against cutting a stream whose attempts are used up."""

    async def scenario(site):
        set_silence(site, event_number)
        async with site.call('stream', X_Deadline_Ms='20000') as resp:
            assert await resp.read() == direct_deployment.STREAM
        assert site.request_count(direct_deployment.MODEL_SERVICE) == 2

    run_scenario(scenario, timeout_ms=20_000)


@pytest.mark.parametrize('event_number', [1, 5])
def test_stream_is_kept_while_no_retry_is_allowed(event_number):
    """Guards against cutting a stream when the retry budget is used up."""

    async def scenario(site):
        set_silence(site, event_number)
        budget = site.entry._app._handler.retry_budget(
            direct_deployment.MODEL_SERVICE
        )
        budget._burst = lambda: 0.0
        async with site.call('stream', X_Deadline_Ms='20000') as resp:
            assert await resp.read() == direct_deployment.STREAM
        assert site.request_count(direct_deployment.MODEL_SERVICE) == 1

    run_scenario(scenario, timeout_ms=20_000)


def test_stream_is_kept_while_there_is_no_other_target():
    """Guards against giving up the only target of a service."""

    async def scenario(site):
        set_silence(site, 5)
        async with site.call('stream', X_Deadline_Ms='20000') as resp:
            assert await resp.read() == direct_deployment.STREAM
        assert site.request_count(direct_deployment.MODEL_SERVICE) == 1

    run_scenario(scenario, timeout_ms=20_000, engines=1)
