"""Bounds the calls that this entry sends to cold targets."""

from __future__ import annotations

import collections
from collections.abc import Callable, Set

from ...directory import model, state

WINDOW_S = 1.0
"""Sliding window of the rate limit on calls to a cold target."""

Limit = Callable[[model.Service, model.TargetRecord], float]
"""Returns how many calls per second this entry may send to a cold target."""


class ColdStarts:
    """The last calls to cold targets."""

    def __init__(
        self,
        directory: state.Directory,
        limit: Limit,
        clock: Callable[[], float],
    ) -> None:
        self._directory = directory
        self._limit = limit
        self._clock = clock
        self._sent_s: dict[str, collections.deque[float]] = {}

    def record(self, record: model.TargetRecord) -> None:
        """Count a call that is sent to a target, if it is cold."""
        if self._directory.cold_left_s(record) > 0:
            self._sent_s.setdefault(record.name, collections.deque()).append(
                self._clock()
            )

    def has_capacity(self, record: model.TargetRecord) -> bool:
        """Return whether the limit permits another call to a target."""
        service = self._directory.services().get(record.service)
        if (
            service is None
            or not service.cold_requests_per_s
            or self._directory.cold_left_s(record) <= 0
        ):
            self._sent_s.pop(record.name, None)
            return True
        sent = self._sent_s.get(record.name, ())
        window_start_s = self._clock() - WINDOW_S
        while sent and sent[0] < window_start_s:
            sent.popleft()
        return len(sent) + 1 <= self._limit(service, record)

    def keep_only(self, names: Set[str]) -> None:
        """Forget targets that are no longer registered."""
        self._sent_s = {
            name: sent for name, sent in self._sent_s.items() if name in names
        }
