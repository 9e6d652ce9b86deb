"""Retry budgets, deadlines and hedged requests."""

from __future__ import annotations

import asyncio

import pytest

from wagtailhollow import errors
from wagtailhollow.internal.retries import budget, deadline, hedging


def test_retries_do_not_exceed_a_tenth_of_the_first_attempts():
    """Guards against a retry storm when all attempts fail."""
    retries = budget.RetryBudget(min_per_s=0.0, clock=lambda: 0.0)
    spent = 0
    for _ in range(10_000):
        retries.record_first_attempt()
        spent += retries.try_spend()
    assert spent <= 10_000 * budget.RETRY_RATIO + 1


def test_busy_entry_gets_no_retries_beyond_the_ratio():
    """Guards against adding the minimum rate of idle entries to the ratio."""
    now = [0.0]
    retries = budget.RetryBudget(clock=lambda: now[0])
    spent = 0
    for _ in range(10_000):
        now[0] += 0.02
        retries.record_first_attempt()
        spent += retries.try_spend()
    assert spent <= 10_000 * budget.RETRY_RATIO + 1


def test_idle_entry_may_retry_a_lost_attempt():
    """Guards against failed calls of an idle entry that earned no retries."""
    now = [0.0]
    retries = budget.RetryBudget(clock=lambda: now[0])
    for _ in range(5):
        now[0] += 2.0
        retries.record_first_attempt()
        assert retries.try_spend()


@pytest.mark.parametrize('value', ['-1', '0', 'nan', 'inf', 'soon', '1e999'])
def test_deadline_that_is_not_a_positive_number_is_rejected(value):
    """Guards against calls without a time limit."""
    with pytest.raises(errors.Refusal, match='positive number'):
        deadline.from_header(value, 60.0)


def test_deadline_of_a_caller_never_exceeds_that_of_the_entry():
    """Guards against callers that occupy a slot indefinitely."""
    assert deadline.from_header('3600', 60.0) == 60.0
    assert deadline.from_header('5', 60.0) == 5.0


class RecordingSink:
    """Answer sink that records the body."""

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


def run_hedged(first, second, delay_s=0.01, allowed=True):
    sink = RecordingSink()
    asyncio.run(hedging.run(sink, first, second, delay_s, lambda: allowed))
    return sink.body


def test_only_the_faster_second_attempt_answers():
    """Guards against an answer composed of the bytes of two attempts."""
    body = run_hedged(answering('slow', 0.2), answering('fast', 0.01, 0.02))
    assert body == b'fast'


def test_first_attempt_that_has_started_to_answer_is_not_hedged():
    """Guards against a second attempt whose answer would be discarded."""

    async def second(sink):
        raise AssertionError('the second attempt was started')

    assert run_hedged(answering('first', 0.0, 0.02), second) == b'first'


def test_second_attempt_answers_if_the_first_fails():
    """Guards against reporting a failure while another attempt still runs."""

    async def failing(sink):
        await asyncio.sleep(0.03)
        raise ConnectionError

    assert run_hedged(failing, answering('second', 0.1)) == b'second'


def test_started_answer_that_fails_is_not_replaced():
    """Guards against sending parts of two answers to the caller."""

    async def failing(sink):
        await sink.start(200, {})
        await asyncio.sleep(0.05)
        raise ConnectionError

    with pytest.raises(ConnectionError):
        run_hedged(failing, answering('second', 0.0))


def test_no_hedging_without_budget():
    """Guards against hedged requests that increase an overload."""

    async def second(sink):
        raise AssertionError('the second attempt was started')

    assert run_hedged(answering('slow', 0.1), second, allowed=False) == b'slow'


def new_window_budget(now, burst=4.0):
    return budget.WindowBudget(0.2, lambda: burst, 10.0, lambda: now[0])


def test_window_budget_never_exceeds_its_limit_in_any_window():
    """Guards against retries that exceed the limit of the deployment."""
    now = [0.0]
    retries = new_window_budget(now)
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


def test_window_budget_allows_a_burst_after_an_idle_period():
    """Guards against streams of a failed group that are not retried."""
    now = [100.0]
    retries = new_window_budget(now, burst=8.0)
    assert [retries.try_spend() for _ in range(10)] == [True] * 8 + [False] * 2
    now[0] += 10.1
    assert retries.try_spend()
