"""Round robin: each candidate in turn, whatever its load."""

from __future__ import annotations

import itertools
import random
from collections.abc import Sequence

from . import policy


@policy.routing_policy('round_robin')
class RoundRobin:
    """Plain alternative for comparison."""

    def __init__(self, rng: random.Random | None = None) -> None:
        start = (rng or random.Random()).randrange(1_000)
        self._turns = itertools.count(start)

    def choose(
        self, candidates: Sequence[policy.Candidate], prefix: str
    ) -> policy.Candidate:
        """Return the next candidate in the order of their names."""
        ordered = sorted(candidates, key=lambda item: item.target)
        return ordered[next(self._turns) % len(ordered)]
