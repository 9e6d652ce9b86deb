"""Delays of the event loop are in the log."""

from __future__ import annotations

import asyncio
import time

import pytest

from wagtailhollow.internal.daemon import loop_delay
from wagtailhollow.internal.observability import decisions


@pytest.mark.parametrize('held_up_s', [0.0, 0.3])
def test_delay_of_the_event_loop_is_logged(monkeypatch, held_up_s):
    """Guards against calls that wait in a process without a line saying so."""
    found = []
    monkeypatch.setattr(loop_delay, 'PERIOD_S', 0.05)

    def observe(event, fields):
        found.append((event, fields['delay_s'] >= 0.2))

    async def scenario():
        task = asyncio.create_task(loop_delay.watch())
        await asyncio.sleep(0.01)
        time.sleep(held_up_s)  # noqa: ASYNC251
        await asyncio.sleep(0.06)
        task.cancel()

    decisions.observers.append(observe)
    try:
        asyncio.run(scenario())
    finally:
        decisions.observers.remove(observe)
    assert found == ([('loop_delayed', True)] if held_up_s else [])
