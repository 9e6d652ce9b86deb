"""Prefix affinity with bounded load.

Calls whose prompts start with the same prefix go to the targets that have it
in their caches, unless these are much busier than the others. The targets are
chosen by rendezvous hashing, so that entries agree without communication and
only the prefixes of a removed target move to other targets.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..membership import rendezvous
from . import policy, power_of_two

LOAD_BOUND_FACTOR = 1.25
"""Highest load of a preferred target as a multiple of the mean load."""

LOAD_BOUND_SLACK = 0.10
"""Share of the cap that is added to the bound. It preserves the affinity in an
idle system, in which the mean load is near zero."""

PREFERRED_COUNT = 2
"""Number of targets per prefix. A second target halves the load that a hot
prefix causes on one target and costs one more copy in the caches."""


@policy.routing_policy('prefix_affinity')
class PrefixAffinity:
    """Chooses a preferred target within the load bound, if there is one.

    Otherwise the choice is made by power of two choices.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._fallback = power_of_two.PowerOfTwo(rng)

    def choose(
        self, candidates: Sequence[policy.Candidate], prefix: str
    ) -> policy.Candidate:
        """Return a preferred candidate if one is within the load bound."""
        if not prefix:
            return self._fallback.choose(candidates, prefix)
        by_name = {item.target: item for item in candidates}
        bound = _load_bound(candidates)
        preferred = (
            by_name[name]
            for name in rendezvous.highest_ranked(
                prefix, by_name, PREFERRED_COUNT
            )
        )
        return next(
            (item for item in preferred if item.load <= bound),
            None,
        ) or self._fallback.choose(candidates, prefix)


def _load_bound(candidates: Sequence[policy.Candidate]) -> float:
    total_cap = sum(max(item.cap, 1) for item in candidates)
    total_load = sum(item.load * max(item.cap, 1) for item in candidates)
    mean = total_load / total_cap
    return min(1.0, LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK)
