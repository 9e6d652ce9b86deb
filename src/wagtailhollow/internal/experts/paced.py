"""Planner for loads that change every few seconds.

A rank loads its weights one after another, so the rank with the most new
experts determines the duration of a switch. A plan with a few experts per rank
yields most of the saving early; the next plan adds the rest.
"""

from __future__ import annotations

from . import observation, placement, planner, search

TRIGGER_SKEW = 1.4
"""Mean skew from which the map is changed. Below it, the saving is less than
the slow-down while weights load."""

MIN_IMPROVEMENT = 0.12
"""Least relative decrease of the mean skew for which the map is changed."""

MIN_GAIN = 0.06
"""Least gain per loaded expert, as a share of the mean rank load."""

CANDIDATE_RANKS = 4
CANDIDATE_SLOTS = 3
"""Bounds of the search: about 0.6 ms per search step and 20 ms per plan."""

GOAL_SKEW = 1.15
"""Skew at or below which a layer is not improved further."""


@planner.planner('paced')
class Paced:
    """Improves the layers of highest skew first, a few experts per rank."""

    def __init__(self, costs: planner.Costs) -> None:
        self._costs = costs

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> planner.Plan:
        """See :meth:`planner.Planner.plan`."""
        ranks = len(current.layers[0].slots)
        budget = [self._costs.rank_budget] * ranks
        searches = [
            search.LayerSearch(
                layer, counts, budget, CANDIDATE_SLOTS, self._costs.spare_slots
            )
            for layer, counts in zip(
                current.layers, observed.layers, strict=True
            )
            if counts is not None and sum(counts)
        ]
        if len(searches) < len(current.layers):
            return planner.Plan(current, 0)
        before = _mean_skew(searches)
        if before < TRIGGER_SKEW:
            return planner.Plan(current, 0)
        moves = _improve(searches, budget)
        after = _mean_skew(searches)
        if not moves or (before - after) / before < MIN_IMPROVEMENT:
            return planner.Plan(current, 0)
        new = placement.Placement(
            tuple(
                placement.LayerPlacement(
                    tuple(tuple(row) for row in item.rows)
                )
                for item in searches
            )
        )
        return planner.Plan(new, placement.moves_between(current, new))


def _improve(searches: list[search.LayerSearch], budget: list[int]) -> int:
    improvable = list(searches)
    moves = 0
    while improvable and any(budget):
        worst = max(improvable, key=lambda item: item.skew())
        if worst.skew() <= GOAL_SKEW:
            break
        step = worst.improve_once(MIN_GAIN, CANDIDATE_RANKS)
        if step is None:
            improvable.remove(worst)
        else:
            moves += len(step.changes)
    return moves


def _mean_skew(searches: list[search.LayerSearch]) -> float:
    return sum(item.skew() for item in searches) / len(searches)
