"""Round robin: the candidates in turn, regardless of their load."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence

from . import policy


@policy.routing_policy('round_robin')
class RoundRobin:
    """Baseline for comparisons with the other policies."""

    def __init__(self, rng: random.Random | None = None) -> None:
        start = (rng or random.Random()).randrange(1_000)
        self._turns = itertools.count(start)

    def choose(
        self, candidates: Sequence[policy.Candidate], prefix: str
    ) -> policy.Candidate:
        """Return the next candidate in the order of the target names."""
        ordered = sorted(candidates, key=lambda item: item.target)
        return ordered[next(self._turns) % len(ordered)]
