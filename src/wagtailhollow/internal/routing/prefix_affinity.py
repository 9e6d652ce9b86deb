"""Prefix affinity with bounded load.

Calls whose prompts start alike go to the target that has the prefix in its
cache, as long as that target is not much busier than the others. Rendezvous
hashing chooses it, so that entries agree without talking to each other and a
target that leaves moves only its own prefixes.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from ..membership import rendezvous
from . import policy, power_of_two

LOAD_BOUND_FACTOR = 1.25
"""A preferred target may have this multiple of the mean load."""

LOAD_BOUND_SLACK = 0.10
"""Share of the cap allowed above the bound, so that an idle system with a
mean load near zero keeps its affinity."""

PREFERRED_COUNT = 2
"""Targets that share one prefix: a second one halves the effect of a hot
prefix and costs one more copy in the caches."""


@policy.routing_policy('prefix_affinity')
class PrefixAffinity:
    """Preferred targets within the load bound, else power of two choices."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._fallback = power_of_two.PowerOfTwo(rng)

    def choose(
        self, candidates: Sequence[policy.Candidate], prefix: str
    ) -> policy.Candidate:
        """Return a preferred candidate if it is not too busy."""
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
    capacity = sum(max(item.cap, 1) for item in candidates)
    running = sum(item.load * max(item.cap, 1) for item in candidates)
    mean = running / capacity
    return min(1.0, LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK)
