"""Retry budget: retries are a bounded share of first attempts.

Without it every call that meets an overloaded target comes back several
times, which keeps the targets overloaded.
"""

from __future__ import annotations

import collections
import time
from collections.abc import Callable
from typing import Protocol

RETRY_RATIO = 0.1
"""Retries allowed for each first attempt; the load on the targets stays under
1.1 times the offered first attempts."""

MIN_RETRIES_PER_S = 1.0
"""Retries that a nearly idle entry may make all the same."""

MAX_SAVED_RETRIES = 20.0

BURST_RETRIES = 20.0
"""Retries in a window beside the share of its calls. A lost agent takes the
calls of its target with it: 64 by default, 16 of each of four entries."""


RETRY_POLICIES: dict[str, Callable[..., RetryPolicy]] = {}
DEFAULT_POLICY = 'window'


class RetryPolicy(Protocol):
    """Decides whether an attempt may be repeated."""

    def record_first_attempt(self) -> None:
        """Count a first attempt."""

    def try_spend(self) -> bool:
        """Return whether one retry may be made now."""


def retry_policy(name: str):
    """Register a class as the retry policy *name*."""

    def register(cls: type) -> type:
        RETRY_POLICIES[name] = cls
        return cls

    return register


@retry_policy('budget')
class RetryBudget:
    """Tokens earned by first attempts and spent by retries."""

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        min_per_s: float = MIN_RETRIES_PER_S,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._ratio = ratio
        self._min_per_s = min_per_s
        self._clock = clock
        self._tokens = 0.0
        # One retry, and what the first attempt before it takes off.
        self._idle_limit = min(1.0, min_per_s) + ratio
        self._idle_tokens = self._idle_limit
        self._refilled_at_s = clock()

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._ratio, MAX_SAVED_RETRIES)
        # The rate for an idle entry is a floor: added to the ratio, a busy
        # entry's retries exceeded a tenth of its first attempts.
        self._refill()
        self._idle_tokens = max(0.0, self._idle_tokens - self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is used up."""
        self._refill()
        if self._tokens >= 1:
            self._tokens -= 1
            return True
        if self._idle_tokens >= 1:
            self._idle_tokens -= 1
            return True
        return False

    def _refill(self) -> None:
        now_s = self._clock()
        earned = (now_s - self._refilled_at_s) * self._min_per_s
        self._idle_tokens = min(self._idle_limit, self._idle_tokens + earned)
        self._refilled_at_s = now_s


@retry_policy('window')
class WindowBudget:
    """A share of the calls of a sliding window, and a fixed number beside.

    Unlike :class:`RetryBudget` it lets a burst through after a quiet time,
    as when a group of targets is lost with all its streams.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        burst: Callable[[], float] = lambda: BURST_RETRIES,
        window_s: float = 10.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a budget.

        :param burst: returns the retries allowed in a window beside the
            share of its calls.
        """
        self._ratio = ratio
        self._burst = burst
        self._window_s = window_s
        self._clock = clock
        self._calls: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._calls.append(self._clock())
        self._forget()

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is used up."""
        self._forget()
        allowed = self._ratio * len(self._calls) + self._burst()
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(self._clock())
        return True

    def _forget(self) -> None:
        oldest_s = self._clock() - self._window_s
        for times_s in (self._calls, self._retries):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()


@retry_policy('unlimited')
class UnlimitedRetries:
    """Plain alternative: every failed attempt is repeated."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        del clock

    def record_first_attempt(self) -> None:
        """See :class:`RetryPolicy`."""

    def try_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        return True


@retry_policy('never')
class NoRetries:
    """Plain alternative: no attempt is repeated."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        del clock

    def record_first_attempt(self) -> None:
        """See :class:`RetryPolicy`."""

    def try_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        return False
