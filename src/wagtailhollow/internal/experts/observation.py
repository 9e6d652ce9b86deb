"""Load observations of a group, and estimates derived from them.

Counts lag behind and have gaps. A rank can be slow for reasons other than load
(clock rate, co-located work, a fault), which moving experts does not help.
The busy time of a rank is therefore divided by its load to tell slow ranks
from loaded ones.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

SMOOTHING = 0.3
"""Weight of a new count in the moving average."""

JUMP_DISTANCE = 0.2
"""Total variation distance above which a change counts as sudden."""

DRIFT_DISTANCE = 0.05
"""Total variation distance above which the load counts as having drifted."""

SLOW_RATIO = 1.2
"""Time per token, relative to the median rank, above which a rank is slow."""

SLOW_OBSERVATIONS = 3
"""Consecutive slow observations before a rank is reported."""


@dataclasses.dataclass(frozen=True)
class Observation:
    """Load of one period.

    :ivar layers: by layer, the tokens by expert; None for a gap.
    :ivar rank_seconds: by rank, the busy time; None for a gap.
    """

    layers: tuple[Sequence[float] | None, ...]
    rank_seconds: Sequence[float | None]


class LoadEstimate:
    """Moving average of the token share by expert in each layer."""

    def __init__(self) -> None:
        self._layers: dict[int, list[float]] = {}
        self._reference: dict[int, list[float]] = {}
        self._stable_since_s: dict[int, float] = {}

    def update(self, observation: Observation, now_s: float) -> None:
        """Add one observation; gaps leave the estimate unchanged."""
        for index, counts in enumerate(observation.layers):
            if counts is None or not sum(counts):
                continue
            total = sum(counts)
            new = [count / total for count in counts]
            old = self._layers.get(index)
            if old is None or _total_variation(old, new) > JUMP_DISTANCE:
                self._layers[index] = new
            else:
                self._layers[index] = [
                    before + SMOOTHING * (now - before)
                    for before, now in zip(old, new, strict=True)
                ]

            reference = self._reference.get(index)
            new = self._layers[index]
            if (
                reference is None
                or _total_variation(reference, new) > DRIFT_DISTANCE
            ):
                self._reference[index] = new
                self._stable_since_s[index] = now_s

    def stable_s(self, now_s: float) -> float:
        """Return the time since the last drift, averaged over the layers.

        The load, and with it a saving, is expected to last as long again.
        """
        if not self._stable_since_s:
            return 0.0
        ages = [
            now_s - stable_since_s
            for stable_since_s in self._stable_since_s.values()
        ]
        return sum(ages) / len(ages)

    def layer(self, index: int) -> list[float] | None:
        """Return the share by expert, or None if not observed yet."""
        return self._layers.get(index)


class SlowRankDetector:
    """Distinguishes ranks that are inherently slow from highly loaded ones."""

    def __init__(self) -> None:
        self._consecutive: dict[int, int] = {}

    def update(
        self,
        loads: Sequence[float],
        rank_seconds: Sequence[float | None],
    ) -> tuple[int, ...]:
        """Return the ranks that are slow relative to their load."""
        ratio = {
            rank: seconds / loads[rank]
            for rank, seconds in enumerate(rank_seconds)
            if seconds is not None and loads[rank] > 0
        }
        if ratio:
            # Imported here because agents that only forward observations do
            # not need it.
            import statistics

            typical = statistics.median(ratio.values())
            for rank, value in ratio.items():
                is_slow = value > SLOW_RATIO * typical
                count = self._consecutive.get(rank, 0)
                self._consecutive[rank] = count + 1 if is_slow else 0
        return tuple(
            sorted(
                rank
                for rank, count in self._consecutive.items()
                if count >= SLOW_OBSERVATIONS
            )
        )


def _total_variation(old: Sequence[float], new: Sequence[float]) -> float:
    return sum(abs(a - b) for a, b in zip(old, new, strict=True)) / 2
