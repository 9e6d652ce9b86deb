"""Max-min fair order of the calls that wait for one service.

A free place goes to the waiting organisation that has the least places in use
for its weight, so an organisation that sends more than its share only delays
itself. When the queue is full the longest queue for its weight gives way.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar('T')


class FairQueue(Generic[T]):
    """Waiting items and places in use, by organisation."""

    def __init__(self, weight: Callable[[str], float]) -> None:
        """Create an empty queue.

        :param weight: returns the weight of an organisation, above 0.
        """
        self._weight = weight
        self._waiting: dict[str, collections.deque[T]] = {}
        self._in_use: collections.Counter[str] = collections.Counter()
        self._last_served: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return self._length

    @property
    def in_use(self) -> int:
        """Return the places in use."""
        return self._in_use.total()

    def push(self, organisation: str, item: T) -> None:
        """Add an item behind the organisation's others."""
        queue = self._waiting.setdefault(organisation, collections.deque())
        queue.append(item)
        self._length += 1

    def acquire_slot(self, organisation: str) -> None:
        """Count a place in use."""
        self._in_use[organisation] += 1
        self._last_served[organisation] = next(self._numbers)

    def release_slot(self, organisation: str) -> None:
        """Free a place."""
        self._in_use[organisation] -= 1
        if not self._in_use[organisation]:
            del self._in_use[organisation]

    def pop_next(self) -> tuple[str, T]:
        """Remove the item that is served next; the queue is not empty."""
        organisation = min(self._waiting, key=self._rank)
        return organisation, self._take(organisation, from_end=False)

    def longest_queue(self) -> str:
        """Return the organisation with most items for its weight."""
        return max(
            self._waiting,
            key=lambda name: len(self._waiting[name]) / self._weight(name),
        )

    def waiting_share(self, organisation: str, added: int = 0) -> float:
        """Return an organisation's waiting items for its weight."""
        count = len(self._waiting.get(organisation, ())) + added
        return count / self._weight(organisation)

    def pop_newest(self, organisation: str) -> T:
        """Remove the item that an organisation added last."""
        return self._take(organisation, from_end=True)

    def discard(self, organisation: str, item: T) -> bool:
        """Remove *item* if it still waits; return whether it did."""
        queue = self._waiting.get(organisation)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self._shrink(organisation)
        return True

    def _rank(self, organisation: str) -> tuple[float, int]:
        places = self._in_use[organisation] + 1
        return (
            places / self._weight(organisation),
            self._last_served.get(organisation, 0),
        )

    def _take(self, organisation: str, from_end: bool) -> T:
        queue = self._waiting[organisation]
        item = queue.pop() if from_end else queue.popleft()
        self._shrink(organisation)
        return item

    def _shrink(self, organisation: str) -> None:
        self._length -= 1
        if not self._waiting[organisation]:
            del self._waiting[organisation]
