"""Token bucket, and limits split evenly over the entries."""

from __future__ import annotations

import collections

from . import method

BURST_S = 1.0
"""Capacity of a bucket in seconds of its rate."""


class TokenBucket:
    """Token bucket that starts empty; each of its tokens is one request.

    The model tokens of a call are not counted here.

    A new owner does not know what the previous owner granted; a full bucket
    would allow a burst after each change of owner.
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = 0.0
        self._updated_s = now_s

    def refill(self, rate: float, now_s: float) -> None:
        """Add the requests that *rate* allows since the last refill."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._updated_s = now_s
        # With a rate below 1/s the bucket still has to reach one request.
        capacity = max(1.0, rate * BURST_S)
        self._tokens = min(capacity, self._tokens + rate * elapsed_s)

    @property
    def available(self) -> int:
        """Return the number of whole requests available."""
        return int(self._tokens + 1e-9)

    def take(self, count: int) -> None:
        """Remove *count* requests, which must be available."""
        self._tokens -= count

    def refund(self, count: int) -> None:
        """Add *count* requests that were not used."""
        self._tokens += count


class LocalShare:
    """Rate and concurrency split evenly over the listed entries."""

    def __init__(self, context: method.Context) -> None:
        self._context = context
        self._buckets: dict[str, TokenBucket] = {}
        self._running: collections.Counter[str] = collections.Counter()

    def acquire(self, organisation: str) -> None:
        """Count a call as running.

        :raises Refusal: LIMIT_EXCEEDED.
        """
        row = self._context.limits(organisation)
        if row is None:
            return
        entries = self._context.peers.listed_count()
        if row.max_concurrent:
            share = max(1, row.max_concurrent // entries)
            if self._running[organisation] >= share:
                raise method.concurrency_exceeded(row.max_concurrent)
        if row.requests_per_s:
            bucket = self._bucket(organisation, row.requests_per_s / entries)
            if bucket.available < 1:
                raise method.rate_exceeded(row.requests_per_s)
            bucket.take(1)
        self._running[organisation] += 1

    def release(self, organisation: str) -> None:
        """Count a call as ended."""
        self._running[organisation] -= 1

    def _bucket(self, organisation: str, rate: float) -> TokenBucket:
        now_s = self._context.clock()
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = self._buckets[organisation] = TokenBucket(now_s)
            bucket.refund(1)
        bucket.refill(rate, now_s)
        return bucket
