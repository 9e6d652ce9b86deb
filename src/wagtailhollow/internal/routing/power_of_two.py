"""Power of two choices: the less loaded of two random candidates."""

from __future__ import annotations

import random
from collections.abc import Sequence

from . import policy


@policy.routing_policy('power_of_two')
class PowerOfTwo:
    """Chooses the less loaded of two candidates drawn at random.

    The random draw prevents all entries from choosing the same target that
    seemed idle in the last reports. Candidates are drawn in proportion to
    weight times cap, so that larger targets are drawn more often.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def choose(
        self, candidates: Sequence[policy.Candidate], prefix: str
    ) -> policy.Candidate:
        """Return the less loaded of two candidates drawn by capacity."""
        if len(candidates) == 1:
            return candidates[0]
        weights = [max(item.weighted_cap, 1e-9) for item in candidates]
        drawn = self._rng.choices(candidates, weights=weights, k=2)
        return min(drawn, key=lambda item: item.load)
