"""Retry budget: retries are a bounded share of first attempts.

Without it every call that meets an overloaded target comes back several
times, which keeps the targets overloaded.
"""

from __future__ import annotations

import time
from collections.abc import Callable

RETRY_RATIO = 0.1
"""Retries allowed for each first attempt; the load on the targets stays under
1.1 times the offered first attempts."""

MIN_RETRIES_PER_S = 1.0
"""Retries that a nearly idle entry may make all the same."""

MAX_SAVED_RETRIES = 20.0


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
        self._idle_tokens = 1.0
        self._refilled_at_s = clock()

    def first_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._tokens + self._ratio, MAX_SAVED_RETRIES)

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
        self._idle_tokens = min(1.0, self._idle_tokens + earned)
        self._refilled_at_s = now_s
