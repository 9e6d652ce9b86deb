"""Local search for a few changes that lower the skew of a layer.

Each search step takes load off the rank with the highest load. It loads the
weights of one expert into a slot, or of two in a swap. Budgets and gains count
loaded experts.
"""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Sequence

from . import placement

CANDIDATE_RANKS = 8
"""Ranks evaluated as the destination of a change, least loaded first."""

THOROUGH_CANDIDATE_RANKS = 40
"""Wider set of ranks for a step that :data:`CANDIDATE_RANKS` do not yield.

With two slots per rank, a suitable swap partner is often not among the least
loaded ranks. Loading more experts pays off only for a load that lasts.
"""

CANDIDATE_SLOTS = 6
"""Slots of the most loaded rank that are evaluated, largest share first."""

MAX_EVALUATIONS = 12_000
"""Changes evaluated in one search; bounds its time (2 us each)."""


@dataclasses.dataclass(frozen=True)
class SlotChange:
    """Load the weights of *expert* into a slot."""

    rank: int
    slot: int
    expert: int


@dataclasses.dataclass(frozen=True)
class SearchStep:
    """One step of the search: a new replica, or a swap of two experts.

    :ivar gain: decrease of the layer's skew.
    """

    changes: tuple[SlotChange, ...]
    gain: float


class LayerSearch:
    """Mutable state of the search in one layer."""

    def __init__(
        self,
        layer: placement.LayerPlacement,
        tokens: Sequence[float],
        rank_budget: int | list[int],
        candidate_slots: int = CANDIDATE_SLOTS,
        layer_budget: int | None = None,
    ) -> None:
        """Initialise the search.

        :param rank_budget: experts that each rank may load, because staged
            weights need a slot of their own until the switch. A list by rank
            is decremented in place and may be shared between layers.
        :param candidate_slots: slots of the most loaded rank that are
            evaluated.
        :param layer_budget: experts that each rank may load in this layer;
            None for no limit besides *rank_budget*.
        """
        self.rows = [list(row) for row in layer.slots]
        self._tokens = tokens
        self._holders: dict[int, list[int]] = {}
        for rank, row in enumerate(self.rows):
            for expert in row:
                if expert != placement.EMPTY:
                    self._holders.setdefault(expert, []).append(rank)
        self.loads = layer.rank_loads(tokens)
        self.mean = sum(self.loads) / len(self.loads) or 1.0
        self._rank_budget = (
            rank_budget
            if isinstance(rank_budget, list)
            else [rank_budget] * len(self.rows)
        )
        self._candidate_slots = candidate_slots
        limit = (
            sum(self._rank_budget) if layer_budget is None else layer_budget
        )
        self._layer_budget = [limit] * len(self.rows)
        self._evaluations = 0

    def skew(self) -> float:
        """Return the skew of the current state."""
        return max(self.loads) / self.mean

    def improve(
        self, goal_skew: float, min_gain: float, max_steps: int, thorough: bool
    ) -> list[SearchStep]:
        """Apply and return the steps that lower the skew to *goal_skew*.

        :param min_gain: least gain per loaded expert, as a share of the mean
            load.
        :param thorough: whether to evaluate more ranks if the first few yield
            no step.
        """
        rank_counts = (CANDIDATE_RANKS, THOROUGH_CANDIDATE_RANKS)[
            : 1 + thorough
        ]
        steps = []
        before = self.skew()
        while before > goal_skew and len(steps) < max_steps:
            most_loaded = self.loads.index(max(self.loads))
            found = None
            for rank_count in rank_counts:
                found = found or self._best_step(
                    most_loaded, min_gain * self.mean, rank_count
                )
            if found is None:
                break
            self._apply(found)
            after = self.skew()
            steps.append(SearchStep(found, before - after))
            before = after
        return steps

    def improve_once(
        self, min_gain: float, rank_count: int
    ) -> SearchStep | None:
        """Apply and return the best step, or None if there is none.

        :param min_gain: least gain per loaded expert, as a share of the mean
            load.
        :param rank_count: ranks evaluated as the destination.
        """
        before = self.skew()
        most_loaded = self.loads.index(max(self.loads))
        found = self._best_step(most_loaded, min_gain * self.mean, rank_count)
        if found is None:
            return None
        self._apply(found)
        return SearchStep(found, before - self.skew())

    def _share(self, expert: int, extra: int = 0) -> float:
        if expert == placement.EMPTY:
            return 0.0
        return self._tokens[expert] / (len(self._holders[expert]) + extra)

    def _best_step(
        self, most_loaded: int, min_gain: float, rank_count: int
    ) -> tuple[SlotChange, ...] | None:
        row = self.rows[most_loaded]
        slots = sorted(
            (slot for slot in range(len(row)) if row[slot] != placement.EMPTY),
            key=lambda slot: -self._share(row[slot]),
        )[: self._candidate_slots]
        candidates = heapq.nsmallest(
            rank_count,
            (
                rank
                for rank in range(len(self.rows))
                if rank != most_loaded and self._has_budget(rank)
            ),
            key=self.loads.__getitem__,
        )
        best_value, best = min_gain, None
        for slot in slots:
            for rank in candidates:
                if row[slot] in self.rows[rank]:
                    continue
                self._evaluations += 2 * len(self.rows[rank])
                if self._evaluations > MAX_EVALUATIONS:
                    return None
                for other in range(len(self.rows[rank])):
                    gain = self._replica_gain(most_loaded, slot, rank, other)
                    if gain > best_value:
                        best_value, best = gain, (slot, rank, other, False)
                    # A swap must gain more than twice as much as a replica,
                    # since it loads two experts.
                    gain = self._swap_gain(most_loaded, slot, rank, other) / 2
                    if gain > best_value:
                        best_value, best = gain, (slot, rank, other, True)
        if best is None:
            return None
        slot, rank, other, is_swap = best
        changes = (SlotChange(rank, other, row[slot]),)
        if is_swap:
            changes += (SlotChange(most_loaded, slot, self.rows[rank][other]),)
        return changes

    def _has_budget(self, rank: int) -> bool:
        return self._rank_budget[rank] > 0 and self._layer_budget[rank] > 0

    def _swap_gain(
        self, most_loaded: int, slot: int, rank: int, other: int
    ) -> float:
        """Return the decrease of the higher load; 0 if not allowed."""
        evicted = self.rows[rank][other]
        if (
            evicted == placement.EMPTY
            or not self._has_budget(most_loaded)
            or evicted in self.rows[most_loaded]
        ):
            return 0.0
        delta = self._share(self.rows[most_loaded][slot]) - self._share(
            evicted
        )
        room = self.loads[most_loaded] - self.loads[rank] - delta
        return min(delta, room)

    def _replica_gain(
        self, most_loaded: int, slot: int, rank: int, other: int
    ) -> float:
        """Return how far all affected ranks stay below the current maximum."""
        evicted = self.rows[rank][other]
        if evicted != placement.EMPTY and len(self._holders[evicted]) < 2:
            return 0.0
        expert = self.rows[most_loaded][slot]
        peak = self._replica_peak(most_loaded, expert, rank, evicted)
        return self.loads[most_loaded] - peak

    def _replica_peak(
        self, most_loaded: int, expert: int, rank: int, evicted: int
    ) -> float:
        """Return the highest load among the ranks that a replica affects."""
        share = self._share(expert)
        new_share = self._share(expert, 1)
        lost = self._share(evicted)
        peak = max(
            self.loads[most_loaded] - share + new_share,
            self.loads[rank] - lost + new_share,
        )
        if evicted == placement.EMPTY:
            return peak
        grown = self._share(evicted, -1) - lost
        for holder in self._holders[evicted]:
            if holder == rank:
                continue
            after = self.loads[holder] + grown
            if holder in self._holders[expert]:
                after += new_share - share
            if after > peak:
                peak = after
        return peak

    def _apply(self, changes: tuple[SlotChange, ...]) -> None:
        touched = {self.rows[item.rank][item.slot] for item in changes}
        touched |= {item.expert for item in changes}
        touched.discard(placement.EMPTY)
        for expert in touched:
            self._add_load(expert, -self._share(expert))
        for item in changes:
            old = self.rows[item.rank][item.slot]
            if old != placement.EMPTY:
                self._holders[old].remove(item.rank)
            self.rows[item.rank][item.slot] = item.expert
            self._holders[item.expert].append(item.rank)
            self._rank_budget[item.rank] -= 1
            self._layer_budget[item.rank] -= 1
        for expert in touched:
            self._add_load(expert, self._share(expert))

    def _add_load(self, expert: int, share: float) -> None:
        for holder in self._holders[expert]:
            self.loads[holder] += share
