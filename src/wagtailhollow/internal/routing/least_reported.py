"""Least reported load: the candidate with the lowest load in its report."""

from __future__ import annotations

import random
from collections.abc import Sequence

from . import policy


@policy.routing_policy('least_reported_load')
class LeastReportedLoad:
    """Baseline for comparisons with the other policies.

    As reports are late, all entries send their calls to the same target until
    its next report shows the load that this caused.
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
