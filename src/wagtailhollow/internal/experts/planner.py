"""Planners of expert maps, by name.

``few_moves`` is used in service; ``never``, ``full_resolve`` and ``greedy``
are the baselines that it is measured against.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Callable
from typing import Protocol

from . import observation, placement, search

DEFAULT_PLANNER = 'few_moves'
MAX_STEPS = 64
"""Steps for a layer in one plan; bounds the planning time."""

MIN_HORIZON_S = 10.0
"""Time over which a saving is counted while the load drifts."""

THOROUGH_AFTER_S = 15.0
"""Time without drift after which the search tries more changes."""


@dataclasses.dataclass(frozen=True)
class Costs:
    """What a change of the map costs, in seconds of the group's time.

    :ivar horizon_s: longest time over which a saving is counted; shorter
        while the load drifts, as it does not last then.
    :ivar pause_s: time for which a switch stops the group.
    :ivar move_s: slow-down of the group by loading one expert's weights.
    :ivar weights_per_s: expert weights a second from the weight store.
    :ivar max_staging_s: longest staging of one plan.
    :ivar spare_slots: weights that a rank can stage in a layer.
    :ivar rank_budget: weights that a rank can stage in one plan.
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
    """A new placement and what it takes.

    :ivar moves: expert weights to load.
    :ivar slow_ranks: ranks that are slow for reasons other than load.
    """

    placement: placement.Placement
    moves: int
    slow_ranks: tuple[int, ...] = ()


class Planner(Protocol):
    """Decides on the next map of one group."""

    def plan(
        self,
        current: placement.Placement,
        seen: observation.Observation,
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
    """Keeps the first map."""

    def __init__(self, costs: Costs) -> None:
        pass

    def plan(
        self,
        current: placement.Placement,
        seen: observation.Observation,
        now_s: float,
    ) -> Plan:
        """See :meth:`Planner.plan`."""
        return Plan(current, 0)


@planner('full_resolve')
class FullResolve:
    """Solves each layer from scratch once in a period."""

    PERIOD_S = 30.0

    def __init__(self, costs: Costs) -> None:
        self._estimate = observation.LoadEstimate()
        self._next_s = 0.0

    def plan(
        self,
        current: placement.Placement,
        seen: observation.Observation,
        now_s: float,
    ) -> Plan:
        """See :meth:`Planner.plan`."""
        self._estimate.update(seen, now_s)
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
    """Common part of the planners that change the current map."""

    def __init__(self, costs: Costs) -> None:
        self._costs = costs
        self._estimate = observation.LoadEstimate()
        self._slow = observation.SlowRankDetector()

    def plan(
        self,
        current: placement.Placement,
        seen: observation.Observation,
        now_s: float,
    ) -> Plan:
        """See :meth:`Planner.plan`."""
        self._estimate.update(seen, now_s)
        stable_s = self._estimate.stable_s(now_s)
        by_layer = []
        skews = []
        loads = [0.0] * len(current.layers[0].slots)
        for index, layer in enumerate(current.layers):
            tokens = self._estimate.layer(index)
            if tokens is None:
                by_layer.append([])
                continue
            state = search.LayerSearch(layer, tokens, self._costs.spare_slots)
            loads = [a + b for a, b in zip(loads, state.loads, strict=True)]
            skews.append(state.skew())
            by_layer.append(self._steps(state, tokens, stable_s))
        slow = self._slow.update(loads, seen.rank_seconds)
        horizon_s = min(
            self._costs.horizon_s,
            max(MIN_HORIZON_S, stable_s),
        )
        chosen = self._choose(by_layer, skews, horizon_s)
        if not any(chosen):
            return Plan(current, 0, slow)
        new = placement.Placement(
            tuple(
                _applied(layer, steps)
                for layer, steps in zip(current.layers, chosen, strict=True)
            )
        )
        return Plan(new, placement.moves_between(current, new), slow)

    def _steps(
        self,
        state: search.LayerSearch,
        tokens: list[float],
        stable_s: float,
    ) -> list[search.Step]:
        raise NotImplementedError

    def _choose(
        self,
        by_layer: list[list[search.Step]],
        skews: list[float],
        horizon_s: float,
    ) -> list[list[search.Step]]:
        raise NotImplementedError


@planner('greedy')
class Greedy(_Incremental):
    """Takes each improvement at once, whatever it costs."""

    def _steps(
        self,
        state: search.LayerSearch,
        tokens: list[float],
        stable_s: float,
    ) -> list[search.Step]:
        return state.improve(1.0, 1e-4, MAX_STEPS, False)

    def _choose(
        self,
        by_layer: list[list[search.Step]],
        skews: list[float],
        horizon_s: float,
    ) -> list[list[search.Step]]:
        return by_layer


@planner('few_moves')
class FewMoves(_Incremental):
    """Changes the map only when the saving exceeds the cost.

    A layer is looked at when its skew is over :data:`TRIGGER` times the lower
    bound and brought down to :data:`GOAL` times the bound; the gap between
    the two keeps noise in the counts from moving weights.
    """

    TRIGGER = 1.07
    GOAL = 1.035
    MIN_GAIN = 2e-3

    def _steps(
        self,
        state: search.LayerSearch,
        tokens: list[float],
        stable_s: float,
    ) -> list[search.Step]:
        ranks, slots = len(state.rows), len(state.rows[0])
        skew = state.skew()
        if skew <= self.TRIGGER:
            return []
        bound = placement.skew_bound(tokens, ranks, slots)
        if skew <= self.TRIGGER * bound:
            return []
        return state.improve(
            self.GOAL * bound,
            self.MIN_GAIN,
            MAX_STEPS,
            stable_s >= THOROUGH_AFTER_S,
        )

    def _choose(
        self,
        by_layer: list[list[search.Step]],
        skews: list[float],
        horizon_s: float,
    ) -> list[list[search.Step]]:
        """Take the best steps under the store's rate; all or none."""
        costs = self._costs
        if not skews:
            return [[] for _ in by_layer]
        mean_skew = sum(skews) / len(skews)
        budget = int(costs.weights_per_s * costs.max_staging_s)
        chosen: list[list[search.Step]] = [[] for _ in by_layer]
        heap = [
            (-_value(steps, 0), index, 0)
            for index, steps in enumerate(by_layer)
            if steps
        ]
        heapq.heapify(heap)
        moves, gain = 0, 0.0
        while heap:
            _, index, position = heapq.heappop(heap)
            step = by_layer[index][position]
            if moves + len(step.changes) > budget:
                break
            moves += len(step.changes)
            gain += step.gain
            chosen[index].append(step)
            position += 1
            if position < len(by_layer[index]):
                value = _value(by_layer[index], position)
                heapq.heappush(heap, (-value, index, position))
        # The saving starts when the staging ends.
        active_s = horizon_s - moves / costs.weights_per_s
        saved_s = gain / len(by_layer) / mean_skew * active_s
        if saved_s <= costs.pause_s + moves * costs.move_s:
            return [[] for _ in by_layer]
        return chosen


def _value(steps: list[search.Step], position: int) -> float:
    """Return the gain for each weight of the steps from *position* on.

    A step that lowers one of several equally full ranks has no gain of its
    own, so the rest of the list is judged as a whole.
    """
    rest = steps[position:]
    return sum(step.gain for step in rest) / sum(
        len(step.changes) for step in rest
    )


def _applied(
    layer: placement.LayerPlacement, steps: list[search.Step]
) -> placement.LayerPlacement:
    rows = [list(row) for row in layer.slots]
    for step in steps:
        for change in step.changes:
            rows[change.rank][change.slot] = change.expert
    return placement.LayerPlacement(tuple(tuple(row) for row in rows))
