"""How often each expert was chosen lately."""

from __future__ import annotations

import collections
from collections.abc import Sequence

from . import model

WINDOW_S = 0.6
"""A map planned from one second loses 1.22 in skew, from two 1.26; a shorter
window sees a shift sooner and still has thousands of choices."""


class RecentDemand:
    """Differences of an engine's counters over the last moments."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._samples: collections.deque[tuple[float, Sequence[int]]] = (
            collections.deque()
        )
        self._of: tuple[int, int] | None = None

    def add(
        self, now_s: float, start_time_ms: int, picks: model.ActivationCounts
    ) -> None:
        """Take in the counters read at *now_s*."""
        if self._of != (start_time_ms, picks.epoch):
            self._samples.clear()
            self._of = (start_time_ms, picks.epoch)
        self._samples.append((now_s, picks.counts))
        while (
            len(self._samples) > 2
            and now_s - self._samples[1][0] >= self._window_s
        ):
            self._samples.popleft()

    def counts(self) -> list[int]:
        """Return the choices within the window; empty if not known yet."""
        if len(self._samples) < 2:
            return []
        _, first = self._samples[0]
        _, last = self._samples[-1]
        return [
            max(0, after - before)
            for before, after in zip(first, last, strict=True)
        ]


def total_by_layer(
    counts: Sequence[Sequence[int]], layers: int
) -> list[list[int]] | None:
    """Return the sum of all ranks' counts by layer; None without any."""
    known = [row for row in counts if row]
    if not known or len({len(row) for row in known}) != 1:
        return None
    total = [sum(column) for column in zip(*known, strict=True)]
    size, rest = divmod(len(total), layers)
    if rest:
        return None
    return [total[at : at + size] for at in range(0, len(total), size)]
