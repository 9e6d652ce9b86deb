"""Local search for few changes that lower the fullest rank of a layer."""

from __future__ import annotations

import dataclasses
import heapq
from collections.abc import Sequence

from . import placement

LIGHT_RANKS = 8
"""Ranks tried as the other end of a change, lightest first."""

THOROUGH_LIGHT_RANKS = 40
"""The same for a step for which the first finds nothing.

With two slots a rank the partner that fits is often not among the lightest.
It is worth the further weights only for a load that lasts.
"""

HOT_SLOTS = 6
"""Slots of the fullest rank that are tried, largest share first."""


MAX_OPTIONS = 12_000
"""Changes weighed in one search, which bounds its time (2 us each)."""


@dataclasses.dataclass(frozen=True)
class SlotChange:
    """Load the weights of *expert* into a slot."""

    rank: int
    slot: int
    expert: int


@dataclasses.dataclass(frozen=True)
class Step:
    """Changes that belong together: one replica, or a swap of two.

    :ivar gain: by how much the skew of the layer falls.
    """

    changes: tuple[SlotChange, ...]
    gain: float


class LayerSearch:
    """Mutable state of the search in one layer."""

    def __init__(
        self,
        layer: placement.LayerPlacement,
        tokens: Sequence[float],
        spare_slots: int | list[int],
        hot_slots: int = HOT_SLOTS,
        layer_limit: int | None = None,
    ) -> None:
        """Prepare a search.

        :param spare_slots: changes allowed for each rank, because staged
            weights need a slot of their own until the switch; a list by rank
            is counted down and may be shared by the layers.
        :param hot_slots: slots of the fullest rank that are tried.
        :param layer_limit: changes allowed for each rank in this layer; None
            for no limit beside *spare_slots*.
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
        self._spare = (
            spare_slots
            if isinstance(spare_slots, list)
            else [spare_slots] * len(self.rows)
        )
        self._hot_slots = hot_slots
        limit = sum(self._spare) if layer_limit is None else layer_limit
        self._layer_spare = [limit] * len(self.rows)
        self._options = 0

    def skew(self) -> float:
        """Return the skew of the present state."""
        return max(self.loads) / self.mean

    def improve(
        self, goal: float, min_gain: float, max_steps: int, thorough: bool
    ) -> list[Step]:
        """Apply and return the steps that bring the skew down to *goal*.

        :param min_gain: least gain for each weight, as a share of the mean.
        :param thorough: whether to try more ranks when a few do not help.
        """
        widths = (LIGHT_RANKS, THOROUGH_LIGHT_RANKS)[: 1 + thorough]
        steps = []
        before = self.skew()
        while before > goal and len(steps) < max_steps:
            hot = self.loads.index(max(self.loads))
            found = None
            for width in widths:
                found = found or self._best(hot, min_gain * self.mean, width)
            if found is None:
                break
            self._apply(found)
            after = self.skew()
            steps.append(Step(found, before - after))
            before = after
        return steps

    def improve_once(self, min_gain: float, width: int) -> Step | None:
        """Apply and return the best step, or None if there is none.

        :param min_gain: least gain for each weight, as a share of the mean.
        :param width: ranks tried as the other end.
        """
        before = self.skew()
        hot = self.loads.index(max(self.loads))
        found = self._best(hot, min_gain * self.mean, width)
        if found is None:
            return None
        self._apply(found)
        return Step(found, before - self.skew())

    def _share(self, expert: int, extra: int = 0) -> float:
        if expert == placement.EMPTY:
            return 0.0
        return self._tokens[expert] / (len(self._holders[expert]) + extra)

    def _best(
        self, hot: int, min_gain: float, width: int
    ) -> tuple[SlotChange, ...] | None:
        row = self.rows[hot]
        slots = sorted(
            (slot for slot in range(len(row)) if row[slot] != placement.EMPTY),
            key=lambda slot: -self._share(row[slot]),
        )[: self._hot_slots]
        light = heapq.nsmallest(
            width,
            (
                rank
                for rank in range(len(self.rows))
                if rank != hot and self._may_change(rank)
            ),
            key=self.loads.__getitem__,
        )
        best_value, best = min_gain, None
        for slot in slots:
            for rank in light:
                if row[slot] in self.rows[rank]:
                    continue
                self._options += 2 * len(self.rows[rank])
                if self._options > MAX_OPTIONS:
                    return None
                for other in range(len(self.rows[rank])):
                    gain = self._replica_gain(hot, slot, rank, other)
                    if gain > best_value:
                        best_value, best = gain, (slot, rank, other, False)
                    # A swap must gain more than twice as much as a replica,
                    # since it loads two weights.
                    gain = self._swap_gain(hot, slot, rank, other) / 2
                    if gain > best_value:
                        best_value, best = gain, (slot, rank, other, True)
        if best is None:
            return None
        slot, rank, other, is_swap = best
        changes = (SlotChange(rank, other, row[slot]),)
        if is_swap:
            changes += (SlotChange(hot, slot, self.rows[rank][other]),)
        return changes

    def _may_change(self, rank: int) -> bool:
        return self._spare[rank] > 0 and self._layer_spare[rank] > 0

    def _swap_gain(self, hot: int, slot: int, rank: int, other: int) -> float:
        """Return by how much the fuller of both ranks falls; 0 if barred."""
        evicted = self.rows[rank][other]
        if (
            evicted == placement.EMPTY
            or not self._may_change(hot)
            or evicted in self.rows[hot]
        ):
            return 0.0
        delta = self._share(self.rows[hot][slot]) - self._share(evicted)
        room = self.loads[hot] - self.loads[rank] - delta
        return min(delta, room)

    def _replica_gain(
        self, hot: int, slot: int, rank: int, other: int
    ) -> float:
        """Return by how much the affected ranks stay below the fullest."""
        evicted = self.rows[rank][other]
        if evicted != placement.EMPTY and len(self._holders[evicted]) < 2:
            return 0.0
        expert = self.rows[hot][slot]
        peak = self._replica_peak(hot, expert, rank, evicted)
        return self.loads[hot] - peak

    def _replica_peak(
        self, hot: int, expert: int, rank: int, evicted: int
    ) -> float:
        """Return the fullest rank among those that a new replica affects."""
        share = self._share(expert)
        new_share = self._share(expert, 1)
        lost = self._share(evicted)
        peak = max(
            self.loads[hot] - share + new_share,
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
            self._spare[item.rank] -= 1
            self._layer_spare[item.rank] -= 1
        for expert in touched:
            self._add_load(expert, self._share(expert))

    def _add_load(self, expert: int, share: float) -> None:
        for holder in self._holders[expert]:
            self.loads[holder] += share
