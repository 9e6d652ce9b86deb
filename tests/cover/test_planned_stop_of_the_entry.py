"""Which calls a stopping entry still sends, and until when."""

from __future__ import annotations

import asyncio
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wagtailhollow import errors
from wagtailhollow.internal.entry import call as call_module
from wagtailhollow.internal.entry.direct import planned_stop

TIMES_S = st.floats(0.0, 60.0)


def new_call(deadline_s, may_have_run=False):
    return types.SimpleNamespace(
        deadline_s=deadline_s,
        execution=call_module.ExecutionRecord(may_have_run=may_have_run),
    )


def stopping(grace_s, now_s):
    """Return a stop that began at 0, at a later time."""
    clock_s = [0.0]
    stop = planned_stop.PlannedStop(lambda: clock_s[0])
    stop.begin(planned_stop.StopTimes.within(grace_s))
    clock_s[0] = now_s
    return stop


def is_refused(stop, call):
    try:
        stop.screen(call)
    except errors.Refusal as exc:
        assert exc.kind is errors.ErrorKind.ENTRY_STOPPING
        return True
    return False


@given(grace_s=TIMES_S, now_s=TIMES_S, left_s=TIMES_S)
def test_calls_sent_after_the_notice_end_before_the_process(
    grace_s, now_s, left_s
):
    """Guards against late calls that the end of the process cuts off."""
    stop = stopping(grace_s, now_s)
    call = new_call(now_s + left_s)
    if not is_refused(stop, call):
        in_notice = now_s <= planned_stop.BALANCER_REMOVAL_S
        assert in_notice or now_s + left_s <= grace_s
        assert now_s <= grace_s


@given(deadline_s=TIMES_S)
def test_no_call_is_refused_before_a_stop(deadline_s):
    """Guards against refusals by an entry that does not stop."""
    stop = planned_stop.PlannedStop(lambda: 0.0)
    assert not is_refused(stop, new_call(deadline_s))


def test_call_that_may_have_run_goes_on():
    """Guards against giving up an answer that may still come."""
    stop = stopping(8.0, 5.0)
    assert is_refused(stop, new_call(30.0))
    assert not is_refused(stop, new_call(30.0, may_have_run=True))


@pytest.mark.parametrize('begins_first', [True, False])
def test_waits_end_at_the_latest_start(begins_first):
    """Guards against bodies that are awaited until it is too late."""

    async def scenario():
        stop = planned_stop.PlannedStop()
        times = planned_stop.StopTimes(notice_s=0.05, calls_end_s=0.3)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        if begins_first:
            stop.begin(times)
        else:
            loop.call_soon(stop.begin, times)
        with pytest.raises(errors.Refusal):
            async with stop.until_latest_start(start_s + 10):
                await asyncio.sleep(5)
        assert 0.04 < loop.time() - start_s < 0.25
        with pytest.raises(errors.Refusal):
            async with stop.until_calls_end():
                await asyncio.sleep(5)
        assert 0.29 < loop.time() - start_s < 1.0

    asyncio.run(scenario())


def test_other_timeouts_are_not_taken_for_the_stop():
    """Guards against ENTRY_STOPPING for a time-out of something else."""

    async def scenario():
        stop = planned_stop.PlannedStop()
        with pytest.raises(TimeoutError):
            async with stop.until_calls_end(), asyncio.timeout(0.01):
                await asyncio.sleep(5)

    asyncio.run(scenario())
