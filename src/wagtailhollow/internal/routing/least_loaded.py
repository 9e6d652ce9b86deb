"""Least loaded: the candidate with the lowest estimated share of its cap."""

from __future__ import annotations

import random
from collections.abc import Sequence

from . import policy


@policy.routing_policy('least_loaded')
class LeastLoaded:
    """For few targets whose load is known well; ties are broken at random.

    Unlike ``least_reported_load`` it counts the calls sent since the report.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def choose(
        self, candidates: Sequence[policy.Candidate], prefix: str
    ) -> policy.Candidate:
        """Return the candidate with the lowest load for its weight."""
        return min(
            candidates,
            key=lambda item: (
                item.load / max(item.weight, 1e-9),
                self._rng.random(),
            ),
        )
