"""Planner for loads that shift every few seconds.

The weights of a rank arrive one after the other, so the rank that gets most
new experts decides how long a switch takes. Few experts a rank in each plan
bring most of the saving soon; the next plan brings the rest.
"""

from __future__ import annotations

from . import observation, placement, planner, search

TRIGGER = 1.4
"""Mean skew from which a map is changed; below it the saving is less than
the slow-down while weights arrive."""

MIN_SAVING = 0.12
"""Least share by which the mean skew has to fall."""

MIN_GAIN = 0.06
"""Least gain of one weight, as a share of a rank's mean load."""

LIGHT_RANKS = 4
HOT_SLOTS = 3
"""Bounds of the search: about 0.6 ms a step, 20 ms a plan."""

GOAL = 1.15
"""Skew of a layer at which it is left alone."""


@planner.planner('paced')
class Paced:
    """Improves the worst layers first, a few new experts a rank."""

    def __init__(self, costs: planner.Costs) -> None:
        self._costs = costs

    def plan(
        self,
        current: placement.Placement,
        seen: observation.Observation,
        now_s: float,
    ) -> planner.Plan:
        """See :meth:`planner.Planner.plan`."""
        ranks = len(current.layers[0].slots)
        budget = [self._costs.rank_budget] * ranks
        searches = [
            search.LayerSearch(
                layer, counts, budget, HOT_SLOTS, self._costs.spare_slots
            )
            for layer, counts in zip(current.layers, seen.layers, strict=True)
            if counts is not None and sum(counts)
        ]
        if len(searches) < len(current.layers):
            return planner.Plan(current, 0)
        before = _mean_skew(searches)
        if before < TRIGGER:
            return planner.Plan(current, 0)
        moves = _improve(searches, budget)
        after = _mean_skew(searches)
        if not moves or (before - after) / before < MIN_SAVING:
            return planner.Plan(current, 0)
        new = placement.Placement(
            tuple(
                placement.LayerPlacement(tuple(tuple(row) for row in it.rows))
                for it in searches
            )
        )
        return planner.Plan(new, placement.moves_between(current, new))


def _improve(searches: list[search.LayerSearch], budget: list[int]) -> int:
    open_layers = list(searches)
    moves = 0
    while open_layers and any(budget):
        worst = max(open_layers, key=lambda item: item.skew())
        if worst.skew() <= GOAL:
            break
        step = worst.improve_once(MIN_GAIN, LIGHT_RANKS)
        if step is None:
            open_layers.remove(worst)
        else:
            moves += len(step.changes)
    return moves


def _mean_skew(searches: list[search.LayerSearch]) -> float:
    return sum(item.skew() for item in searches) / len(searches)
