"""Retry budget, deadlines and hedging."""

from __future__ import annotations

import asyncio

import pytest

from wagtailhollow import errors
from wagtailhollow.internal.retries import budget, deadline, hedging


def test_retries_stay_a_tenth_of_first_attempts():
    """Guards against a retry storm when every attempt fails."""
    retries = budget.RetryBudget(min_per_s=0.0, clock=lambda: 0.0)
    spent = 0
    for _ in range(10_000):
        retries.record_first_attempt()
        spent += retries.try_spend()
    assert spent <= 10_000 * budget.RETRY_RATIO + 1


def test_busy_entry_gets_no_retries_beside_its_share():
    """Guards against the floor for idle entries on top of the ratio."""
    now = [0.0]
    retries = budget.RetryBudget(clock=lambda: now[0])
    spent = 0
    for _ in range(10_000):
        now[0] += 0.02
        retries.record_first_attempt()
        spent += retries.try_spend()
    assert spent <= 10_000 * budget.RETRY_RATIO + 1


def test_idle_entry_may_retry_a_lost_attempt():
    """Guards against a single call that fails for want of a budget."""
    now = [0.0]
    retries = budget.RetryBudget(clock=lambda: now[0])
    for _ in range(5):
        now[0] += 2.0
        retries.record_first_attempt()
        assert retries.try_spend()


@pytest.mark.parametrize('value', ['-1', '0', 'nan', 'inf', 'soon', '1e999'])
def test_deadline_that_is_not_a_positive_number_is_refused(value):
    """Guards against calls without an end."""
    with pytest.raises(errors.Refusal, match='positive number'):
        deadline.from_header(value, 60.0)


def test_deadline_of_a_caller_never_exceeds_that_of_the_entry():
    """Guards against callers that hold a slot for ever."""
    assert deadline.from_header('3600', 60.0) == 60.0
    assert deadline.from_header('5', 60.0) == 5.0


class RecordingSink:
    """Answer sink that keeps what it was given."""

    def __init__(self):
        self.is_started = False
        self.body = b''

    def set_data_centre(self, data_centre):
        pass

    async def start(self, status, headers):
        assert not self.is_started
        self.is_started = True

    async def write(self, data):
        self.body += data

    async def finish(self):
        pass


def answering(text, first_s, gap_s=0.0):
    async def attempt(sink):
        await asyncio.sleep(first_s)
        await sink.start(200, {})
        for char in text:
            await sink.write(char.encode())
            await asyncio.sleep(gap_s)
        await sink.finish()

    return attempt


def race(first, second, delay_s=0.01, allowed=True):
    sink = RecordingSink()
    asyncio.run(hedging.run(sink, first, second, delay_s, lambda: allowed))
    return sink.body


def test_faster_second_attempt_answers_alone():
    """Guards against an answer spliced from two generations."""
    body = race(answering('slow', 0.2), answering('fast', 0.01, 0.02))
    assert body == b'fast'


def test_first_attempt_that_has_begun_is_not_hedged():
    """Guards against a second attempt that is thrown away."""

    async def second(sink):
        raise AssertionError('the second attempt was started')

    assert race(answering('first', 0.0, 0.02), second) == b'first'


def test_failed_first_attempt_leaves_the_answer_to_the_second():
    """Guards against a failure reported while a good answer is coming."""

    async def failing(sink):
        await asyncio.sleep(0.03)
        raise ConnectionError

    assert race(failing, answering('second', 0.1)) == b'second'


def test_answer_that_was_begun_and_fails_is_not_replaced():
    """Guards against a caller who sees the start of another answer."""

    async def failing(sink):
        await sink.start(200, {})
        await asyncio.sleep(0.05)
        raise ConnectionError

    with pytest.raises(ConnectionError):
        race(failing, answering('second', 0.0))


def test_no_hedging_without_budget():
    """Guards against hedges that add to an overload."""

    async def second(sink):
        raise AssertionError('the second attempt was started')

    assert race(answering('slow', 0.1), second, allowed=False) == b'slow'


def window_budget(now, burst=4.0):
    return budget.WindowBudget(0.2, lambda: burst, 10.0, lambda: now[0])


def test_window_budget_never_exceeds_its_share_of_any_window():
    """Guards against retries of all entries that exceed the agreed bound."""
    now = [0.0]
    retries = window_budget(now)
    times = []
    for _ in range(3_000):
        now[0] += 0.03
        retries.record_first_attempt()
        while retries.try_spend():
            times.append(now[0])
    calls = 10.0 / 0.03 + 1
    for start in times:
        inside = sum(start <= at < start + 10.0 for at in times)
        assert inside <= 0.2 * calls + 4.0 + 1


def test_window_budget_lets_a_burst_through_after_a_quiet_time():
    """Guards against streams lost with a group though retries were saved."""
    now = [100.0]
    retries = window_budget(now, burst=8.0)
    assert [retries.try_spend() for _ in range(10)] == [True] * 8 + [False] * 2
    now[0] += 10.1
    assert retries.try_spend()
