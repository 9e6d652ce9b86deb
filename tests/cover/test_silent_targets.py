"""Streams whose targets are silent for a while and then go on.

The failure: a stream is given up because its target has been silent, although
nothing else can serve it; its caller gets less than the target had.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

import pytest

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario
from wagtailhollow.internal.http1 import connection

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


class PendingTimeouts:
    """The time-outs of the entry, without those of whole calls."""

    def __init__(self):
        self._create = asyncio.timeout
        self._pending = []

    def timeout(self, delay_s):
        """Replace ``asyncio.timeout``."""
        found = self._create(delay_s)
        caller = sys._getframe(1)
        module = caller.f_globals['__name__']
        if '.entry.direct.' in module and caller.f_code.co_name != '_run':
            self._pending.append(found)
        return found

    def expire(self):
        """Let all pending time-outs expire in this turn of the event loop."""
        for item in self._pending:
            # Some have not been entered, or have ended.
            with contextlib.suppress(RuntimeError):
                item.reschedule(asyncio.get_running_loop().time())
        self._pending.clear()


@pytest.mark.parametrize('is_data_first', [True, False])
@pytest.mark.parametrize('route', ['stream', 'once', 'safe'])
def test_bytes_that_arrive_with_a_time_out_are_kept(
    monkeypatch, route, is_data_first
):
    """Guards against events that are lost if their wait ends with them."""
    pending = PendingTimeouts()
    receive = connection.HttpConnection.data_received

    def data_received(self, data):
        steps = [pending.expire, lambda: receive(self, data)]
        for step in reversed(steps) if is_data_first else steps:
            step()

    monkeypatch.setattr(asyncio, 'timeout', pending.timeout)
    monkeypatch.setattr(
        connection.HttpConnection, 'data_received', data_received
    )

    async def scenario(site):
        for engine in site.engines:
            engine.gap_s = 0.02
            # The first event comes after the head, in a read of its own.
            engine.silence_before = {1: 0.1}
        async with site.call(route, X_Deadline_Ms='20000') as resp:
            assert resp.status == 200
            body = await resp.read()
        if route == 'stream':
            assert body == direct_deployment.STREAM
        assert sum(len(engine.received) for engine in site.engines) == 1

    run_scenario(scenario, timeout_ms=20_000)
