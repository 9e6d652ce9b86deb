"""Weighted max-min fair queue of the calls that wait for one service.

A free slot goes to the waiting organisation with the fewest slots in use
relative to its weight, so an organisation that sends more than its share only
delays itself. The caller bounds the queue: by ``longest_queue`` and
``pop_newest`` it evicts the newest item of the organisation with the longest
queue relative to its weight.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar('T')


class FairQueue(Generic[T]):
    """Waiting items and slots in use, by organisation."""

    def __init__(self, weight: Callable[[str], float]) -> None:
        """Create an empty queue.

        :param weight: returns the weight of an organisation, greater than 0.
        """
        self._weight = weight
        self._waiting: dict[str, collections.deque[T]] = {}
        self._in_use: collections.Counter[str] = collections.Counter()
        self._last_acquired: dict[str, int] = {}
        self._sequence = itertools.count(1)
        self._length = 0

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return self._length

    @property
    def in_use(self) -> int:
        """Return the number of slots in use."""
        return self._in_use.total()

    def push(self, organisation: str, item: T) -> None:
        """Append an item to the organisation's queue."""
        queue = self._waiting.setdefault(organisation, collections.deque())
        queue.append(item)
        self._length += 1

    def acquire_slot(self, organisation: str) -> None:
        """Count a slot as in use."""
        self._in_use[organisation] += 1
        self._last_acquired[organisation] = next(self._sequence)

    def release_slot(self, organisation: str) -> None:
        """Count a slot as free."""
        self._in_use[organisation] -= 1
        if not self._in_use[organisation]:
            del self._in_use[organisation]

    def pop_next(self) -> tuple[str, T]:
        """Remove and return the next item; the queue must not be empty."""
        organisation = min(self._waiting, key=self._service_order)
        return organisation, self._pop(organisation, from_end=False)

    def longest_queue(self) -> str:
        """Return the organisation with the most waiting items per weight."""
        return max(
            self._waiting,
            key=lambda name: len(self._waiting[name]) / self._weight(name),
        )

    def waiting_per_weight(self, organisation: str, added: int = 0) -> float:
        """Return the waiting items of an organisation, divided by its weight.

        :param added: items to count in addition to the waiting ones.
        """
        count = len(self._waiting.get(organisation, ())) + added
        return count / self._weight(organisation)

    def pop_newest(self, organisation: str) -> T:
        """Remove and return the newest item of an organisation."""
        return self._pop(organisation, from_end=True)

    def discard(self, organisation: str, item: T) -> bool:
        """Remove *item* if it is still waiting; return whether it was."""
        queue = self._waiting.get(organisation)
        if queue is None or item not in queue:
            return False
        queue.remove(item)
        self._count_removal(organisation)
        return True

    def _service_order(self, organisation: str) -> tuple[float, int]:
        slots = self._in_use[organisation] + 1
        return (
            slots / self._weight(organisation),
            self._last_acquired.get(organisation, 0),
        )

    def _pop(self, organisation: str, from_end: bool) -> T:
        queue = self._waiting[organisation]
        item = queue.pop() if from_end else queue.popleft()
        self._count_removal(organisation)
        return item

    def _count_removal(self, organisation: str) -> None:
        self._length -= 1
        if not self._waiting[organisation]:
            del self._waiting[organisation]
