"""What a planner sees of a group, and estimates from it.

Counts lag behind and have gaps. A rank can be slow for reasons of its own
(clock, neighbour, fault), which moving experts does not cure, so the time of
a rank is compared with its load before it is taken for load skew.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

SMOOTHING = 0.3
"""Weight of a new count in the moving average."""

JUMP_DISTANCE = 0.2
"""Total variation distance from which a change counts as sudden."""

DRIFT_DISTANCE = 0.05
"""Total variation distance from which a load counts as another one."""

SLOW_RATIO = 1.2
"""Time for each token over that of the median rank."""

SLOW_OBSERVATIONS = 3
"""Observations in a row before a rank is reported as slow."""


@dataclasses.dataclass(frozen=True)
class Observation:
    """Counters of one period.

    :ivar layers: by layer, the tokens by expert; None for a gap.
    :ivar rank_seconds: by rank, the time spent computing; None for a gap.
    """

    layers: tuple[Sequence[float] | None, ...]
    rank_seconds: Sequence[float | None]


class LoadEstimate:
    """Moving average of the tokens by expert in each layer."""

    def __init__(self) -> None:
        self._layers: dict[int, list[float]] = {}
        self._reference: dict[int, list[float]] = {}
        self._since_s: dict[int, float] = {}

    def update(self, observation: Observation, now_s: float) -> None:
        """Take in one observation; gaps leave the estimate as it is."""
        for index, counts in enumerate(observation.layers):
            if counts is None or not sum(counts):
                continue
            total = sum(counts)
            new = [count / total for count in counts]
            old = self._layers.get(index)
            if old is None or _distance(old, new) > JUMP_DISTANCE:
                self._layers[index] = new
            else:
                self._layers[index] = [
                    before + SMOOTHING * (now - before)
                    for before, now in zip(old, new, strict=True)
                ]

            reference = self._reference.get(index)
            new = self._layers[index]
            if reference is None or _distance(reference, new) > DRIFT_DISTANCE:
                self._reference[index] = new
                self._since_s[index] = now_s

    def stable_s(self, now_s: float) -> float:
        """Return for how long the load has not drifted, mean of the layers.

        A load is expected to last as long again, as a saving does.
        """
        if not self._since_s:
            return 0.0
        ages = [now_s - since_s for since_s in self._since_s.values()]
        return sum(ages) / len(ages)

    def layer(self, index: int) -> list[float] | None:
        """Return the share of each expert, None if not observed yet."""
        return self._layers.get(index)


class SlowRankDetector:
    """Tells a rank that is slow by itself from one with much load."""

    def __init__(self) -> None:
        self._in_a_row: dict[int, int] = {}

    def update(
        self,
        loads: Sequence[float],
        rank_seconds: Sequence[float | None],
    ) -> tuple[int, ...]:
        """Return the ranks that are slow for their load."""
        ratio = {
            rank: seconds / loads[rank]
            for rank, seconds in enumerate(rank_seconds)
            if seconds is not None and loads[rank] > 0
        }
        if ratio:
            # Not loaded by agents that only pass observations on.
            import statistics

            typical = statistics.median(ratio.values())
            for rank, value in ratio.items():
                is_slow = value > SLOW_RATIO * typical
                count = self._in_a_row.get(rank, 0)
                self._in_a_row[rank] = count + 1 if is_slow else 0
        return tuple(
            sorted(
                rank
                for rank, count in self._in_a_row.items()
                if count >= SLOW_OBSERVATIONS
            )
        )


def _distance(old: Sequence[float], new: Sequence[float]) -> float:
    return sum(abs(a - b) for a, b in zip(old, new, strict=True)) / 2
