"""Least reported load: the candidate whose last report was lowest."""

from __future__ import annotations

import random
from collections.abc import Sequence

from . import policy


@policy.routing_policy('least_reported_load')
class LeastReportedLoad:
    """Plain alternative for comparison.

    With lagging reports every entry sends its calls to the same target until
    the next report shows what they did to it.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()

    def choose(
        self, candidates: Sequence[policy.Candidate], prefix: str
    ) -> policy.Candidate:
        """Return the candidate with the lowest reported share of its cap."""
        return min(
            candidates,
            key=lambda item: (
                (item.reported_running + item.reported_queued)
                / max(item.cap, 1),
                self._rng.random(),
            ),
        )
