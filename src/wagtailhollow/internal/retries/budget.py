"""Retry budgets, which limit retries to a share of the first attempts.

Without a limit each call that an overloaded target refuses is retried several
times, which keeps the targets overloaded.
"""

from __future__ import annotations

import collections
import time
from collections.abc import Callable
from typing import Protocol

RETRY_RATIO = 0.1
"""Retries allowed per first attempt. With these alone the targets get at most
1.1 times the number of first attempts. The policy ``window`` allows
:data:`BURST_RETRIES` more; ``budget`` allows :data:`MIN_RETRIES_PER_S` to a
nearly idle entry."""

MIN_RETRIES_PER_S = 1.0
"""Rate of retries that ``budget`` allows to a nearly idle entry."""

MAX_SAVED_RETRIES = 20.0

BURST_RETRIES = 20.0
"""Retries that the policy ``window`` allows per window in addition to the
share of the calls. If an agent fails, all calls at its target have to be
retried: up to 64 with the default cap, which is 16 for each of four entries.
"""


RETRY_POLICIES: dict[str, Callable[..., RetryPolicy]] = {}
DEFAULT_POLICY = 'window'


class RetryPolicy(Protocol):
    """Decides whether a failed attempt may be retried."""

    def record_first_attempt(self) -> None:
        """Count a first attempt."""

    def can_spend(self) -> bool:
        """Return whether one retry could be made now, without spending it."""

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget is used up."""


def retry_policy(name: str):
    """Register a class as the retry policy *name*."""

    def register(cls: type) -> type:
        RETRY_POLICIES[name] = cls
        return cls

    return register


@retry_policy('budget')
class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

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
        # Enough for one retry after the deduction for its first attempt.
        self._idle_limit = min(1.0, min_per_s) + ratio
        self._idle_tokens = self._idle_limit
        self._refilled_at_s = clock()

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._ratio, MAX_SAVED_RETRIES)
        # The minimum rate is not granted on top of the ratio: if it was, a
        # busy entry's retries exceeded a tenth of its first attempts.
        self._refill()
        self._idle_tokens = max(0.0, self._idle_tokens - self._ratio)

    def can_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        self._refill()
        return max(self._tokens, self._idle_tokens) >= 1

    def try_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        if not self.can_spend():
            return False
        if self._tokens >= 1:
            self._tokens -= 1
        else:
            self._idle_tokens -= 1
        return True

    def _refill(self) -> None:
        now_s = self._clock()
        earned = (now_s - self._refilled_at_s) * self._min_per_s
        self._idle_tokens = min(self._idle_limit, self._idle_tokens + earned)
        self._refilled_at_s = now_s


@retry_policy('window')
class WindowBudget:
    """Share of the calls in a sliding window plus a fixed number of retries.

    Unlike :class:`RetryBudget` it allows a burst of retries after a period
    without any, such as when a group of targets fails with all its streams.
    """

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        burst: Callable[[], float] = lambda: BURST_RETRIES,
        window_s: float = 10.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a budget.

        :param burst: returns the number of retries allowed per window in
            addition to the share of its calls.
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
        self._drop_expired()

    def can_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        self._drop_expired()
        allowed = self._ratio * len(self._calls) + self._burst()
        return len(self._retries) + 1 <= allowed

    def try_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        if not self.can_spend():
            return False
        self._retries.append(self._clock())
        return True

    def _drop_expired(self) -> None:
        oldest_s = self._clock() - self._window_s
        for times_s in (self._calls, self._retries):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()


@retry_policy('unlimited')
class UnlimitedRetries:
    """Policy that retries every failed attempt, for comparisons."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        del clock

    def record_first_attempt(self) -> None:
        """See :class:`RetryPolicy`."""

    def can_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        return True

    def try_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        return True


@retry_policy('never')
class NoRetries:
    """Policy that never retries, for comparisons."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        del clock

    def record_first_attempt(self) -> None:
        """See :class:`RetryPolicy`."""

    def can_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        return False

    def try_spend(self) -> bool:
        """See :class:`RetryPolicy`."""
        return False
