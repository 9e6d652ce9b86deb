"""Registry of planners for expert maps.

``group.py`` uses the planner that the settings name, by default ``few_moves``;
``never``, ``full_resolve`` and ``greedy`` are the baselines that it is
measured against. The agents that use ``live/`` plan with ``paced``, which the
settings do not allow and which registers itself when ``paced.py`` is imported.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Callable
from typing import Protocol

from . import observation, placement, search

DEFAULT_PLANNER = 'few_moves'
MAX_STEPS = 64
"""Search steps per layer in one plan; bounds the planning time."""

MIN_HORIZON_S = 10.0
"""Shortest time over which a saving is counted, used while the load drifts."""

THOROUGH_AFTER_S = 15.0
"""Time without drift after which the search evaluates more ranks."""


@dataclasses.dataclass(frozen=True)
class Costs:
    """Costs and limits of a map change.

    ``pause_s`` and ``move_s`` are time that the group loses. ``paced`` uses
    only ``spare_slots`` and ``rank_budget``; ``few_moves`` uses all but
    ``rank_budget``.

    :ivar horizon_s: longest time over which a saving is counted. The time is
        shorter while the load drifts, because the saving does not last.
    :ivar pause_s: time for which a switch pauses the group.
    :ivar move_s: time that the group loses by loading one expert's weights.
    :ivar weights_per_s: experts per second whose weights the weight store
        serves.
    :ivar max_staging_s: longest staging time of one plan.
    :ivar spare_slots: experts that a rank can stage in one layer.
    :ivar rank_budget: experts that a rank can stage in one plan.
    """

    horizon_s: float = 120.0
    pause_s: float = 0.2
    move_s: float = 0.005
    weights_per_s: float = 100.0
    max_staging_s: float = 10.0
    spare_slots: int = 2
    rank_budget: int = 4


@dataclasses.dataclass(frozen=True)
class Plan:
    """A new placement and its cost.

    :ivar moves: number of experts to load, over all ranks and layers.
    :ivar slow_ranks: ranks that are slow for reasons other than load.
    """

    placement: placement.Placement
    moves: int
    slow_ranks: tuple[int, ...] = ()


class Planner(Protocol):
    """Chooses the next map of one group."""

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> Plan:
        """Return the next map; ``moves`` is 0 to keep the current one."""


PLANNERS: dict[str, Callable[[Costs], Planner]] = {}


def planner(name: str):
    """Register a class as the planner *name*."""

    def register(cls: type) -> type:
        PLANNERS[name] = cls
        return cls

    return register


@planner('never')
class Never:
    """Keeps the initial map."""

    def __init__(self, costs: Costs) -> None:
        pass

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> Plan:
        """See :meth:`Planner.plan`."""
        return Plan(current, 0)


@planner('full_resolve')
class FullResolve:
    """Solves each layer from scratch once per period."""

    PERIOD_S = 30.0

    def __init__(self, costs: Costs) -> None:
        self._estimate = observation.LoadEstimate()
        self._next_s = 0.0

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> Plan:
        """See :meth:`Planner.plan`."""
        self._estimate.update(observed, now_s)
        if now_s < self._next_s:
            return Plan(current, 0)
        self._next_s = now_s + self.PERIOD_S
        layers = []
        for index, layer in enumerate(current.layers):
            tokens = self._estimate.layer(index)
            ranks, slots = len(layer.slots), len(layer.slots[0])
            layers.append(
                layer
                if tokens is None
                else placement.solve(tokens, ranks, slots)
            )
        new = placement.Placement(tuple(layers))
        return Plan(new, placement.moves_between(current, new))


class _Incremental:
    """Base class of planners that modify the current map."""

    def __init__(self, costs: Costs) -> None:
        self._costs = costs
        self._estimate = observation.LoadEstimate()
        self._slow_rank_detector = observation.SlowRankDetector()

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> Plan:
        """See :meth:`Planner.plan`."""
        self._estimate.update(observed, now_s)
        stable_s = self._estimate.stable_s(now_s)
        steps_by_layer = []
        skews = []
        loads = [0.0] * len(current.layers[0].slots)
        for index, layer in enumerate(current.layers):
            tokens = self._estimate.layer(index)
            if tokens is None:
                steps_by_layer.append([])
                continue
            state = search.LayerSearch(layer, tokens, self._costs.spare_slots)
            loads = [a + b for a, b in zip(loads, state.loads, strict=True)]
            skews.append(state.skew())
            steps_by_layer.append(self._search_layer(state, tokens, stable_s))
        slow = self._slow_rank_detector.update(loads, observed.rank_seconds)
        horizon_s = min(
            self._costs.horizon_s,
            max(MIN_HORIZON_S, stable_s),
        )
        chosen = self._select_steps(steps_by_layer, skews, horizon_s)
        if not any(chosen):
            return Plan(current, 0, slow)
        new = placement.Placement(
            tuple(
                _with_steps(layer, steps)
                for layer, steps in zip(current.layers, chosen, strict=True)
            )
        )
        return Plan(new, placement.moves_between(current, new), slow)

    def _search_layer(
        self,
        state: search.LayerSearch,
        tokens: list[float],
        stable_s: float,
    ) -> list[search.SearchStep]:
        raise NotImplementedError

    def _select_steps(
        self,
        steps_by_layer: list[list[search.SearchStep]],
        skews: list[float],
        horizon_s: float,
    ) -> list[list[search.SearchStep]]:
        raise NotImplementedError


@planner('greedy')
class Greedy(_Incremental):
    """Applies every improvement at once, regardless of its cost."""

    def _search_layer(
        self,
        state: search.LayerSearch,
        tokens: list[float],
        stable_s: float,
    ) -> list[search.SearchStep]:
        return state.improve(1.0, 1e-4, MAX_STEPS, False)

    def _select_steps(
        self,
        steps_by_layer: list[list[search.SearchStep]],
        skews: list[float],
        horizon_s: float,
    ) -> list[list[search.SearchStep]]:
        return steps_by_layer


@planner('few_moves')
class FewMoves(_Incremental):
    """Changes the map only when the saving exceeds the cost.

    A layer is improved when its skew exceeds :data:`TRIGGER_RATIO` times the
    lower bound, until it reaches :data:`GOAL_RATIO` times the bound. The gap
    between the two is a hysteresis: noise in the counts moves no weights.
    """

    TRIGGER_RATIO = 1.07
    GOAL_RATIO = 1.035
    MIN_GAIN = 2e-3

    def _search_layer(
        self,
        state: search.LayerSearch,
        tokens: list[float],
        stable_s: float,
    ) -> list[search.SearchStep]:
        ranks, slots = len(state.rows), len(state.rows[0])
        skew = state.skew()
        if skew <= self.TRIGGER_RATIO:
            return []
        bound = placement.skew_bound(tokens, ranks, slots)
        if skew <= self.TRIGGER_RATIO * bound:
            return []
        return state.improve(
            self.GOAL_RATIO * bound,
            self.MIN_GAIN,
            MAX_STEPS,
            stable_s >= THOROUGH_AFTER_S,
        )

    def _select_steps(
        self,
        steps_by_layer: list[list[search.SearchStep]],
        skews: list[float],
        horizon_s: float,
    ) -> list[list[search.SearchStep]]:
        """Select the best steps within the rate of the weight store.

        Returns no steps at all unless their total saving exceeds their cost.
        """
        costs = self._costs
        if not skews:
            return [[] for _ in steps_by_layer]
        mean_skew = sum(skews) / len(skews)
        budget = int(costs.weights_per_s * costs.max_staging_s)
        chosen: list[list[search.SearchStep]] = [[] for _ in steps_by_layer]
        heap = [
            (-_gain_per_expert(steps, 0), index, 0)
            for index, steps in enumerate(steps_by_layer)
            if steps
        ]
        heapq.heapify(heap)
        moves, gain = 0, 0.0
        while heap:
            _, index, position = heapq.heappop(heap)
            step = steps_by_layer[index][position]
            if moves + len(step.changes) > budget:
                break
            moves += len(step.changes)
            gain += step.gain
            chosen[index].append(step)
            position += 1
            if position < len(steps_by_layer[index]):
                value = _gain_per_expert(steps_by_layer[index], position)
                heapq.heappush(heap, (-value, index, position))
        # The saving starts only after staging.
        effective_s = horizon_s - moves / costs.weights_per_s
        saved_s = gain / len(steps_by_layer) / mean_skew * effective_s
        if saved_s <= costs.pause_s + moves * costs.move_s:
            return [[] for _ in steps_by_layer]
        return chosen


def _gain_per_expert(steps: list[search.SearchStep], position: int) -> float:
    """Return the gain per loaded expert of the steps from *position* on.

    A step that lowers one of several equally loaded ranks has no gain of its
    own, so the remaining steps are evaluated together.
    """
    rest = steps[position:]
    return sum(step.gain for step in rest) / sum(
        len(step.changes) for step in rest
    )


def _with_steps(
    layer: placement.LayerPlacement, steps: list[search.SearchStep]
) -> placement.LayerPlacement:
    rows = [list(row) for row in layer.slots]
    for step in steps:
        for change in step.changes:
            rows[change.rank][change.slot] = change.expert
    return placement.LayerPlacement(tuple(tuple(row) for row in rows))
