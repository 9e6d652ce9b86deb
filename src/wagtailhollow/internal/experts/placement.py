"""Placement of experts in the slots of the ranks, and the resulting load.

A layer has ``experts`` experts, and each rank has the same number of slots for
their weights. An expert may have replicas on several ranks, which share its
tokens equally.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
from collections.abc import Sequence
from typing import Any

EMPTY = -1
"""Marks a slot without weights."""


@dataclasses.dataclass(frozen=True)
class LayerPlacement:
    """Experts in the slots of one layer.

    :ivar slots: by rank, the expert in each slot or :data:`EMPTY`.
    """

    slots: tuple[tuple[int, ...], ...]

    def replicas(self) -> collections.Counter[int]:
        """Return the number of replicas by expert."""
        return collections.Counter(
            expert for row in self.slots for expert in row if expert != EMPTY
        )

    def rank_loads(self, tokens: Sequence[float]) -> list[float]:
        """Return the tokens of each rank, given the tokens by expert."""
        count = self.replicas()
        share = {expert: tokens[expert] / n for expert, n in count.items()}
        share[EMPTY] = 0.0
        return [sum(share[expert] for expert in row) for row in self.slots]

    def skew(self, tokens: Sequence[float]) -> float:
        """Return the ratio of the highest to the mean rank load."""
        loads = self.rank_loads(tokens)
        total = sum(loads)
        return max(loads) * len(loads) / total if total else 1.0


@dataclasses.dataclass(frozen=True)
class Placement:
    """The expert map of a group: one placement for each layer."""

    layers: tuple[LayerPlacement, ...]

    def to_json(self) -> list[list[list[int]]]:
        """Return nested lists: layer, rank, slot."""
        return [[list(row) for row in layer.slots] for layer in self.layers]


def from_json(document: Any) -> Placement:
    """Return the placement from nested lists: layer, rank, slot."""
    return Placement(
        tuple(
            LayerPlacement(tuple(tuple(row) for row in layer))
            for layer in document
        )
    )


def from_experts(
    ranks: Sequence[Sequence[Sequence[int]]], slots: int
) -> Placement:
    """Return the placement of experts given by rank and layer.

    :param slots: slots of a rank in a layer; unused ones stay empty.
    """
    return Placement(
        tuple(
            LayerPlacement(
                tuple((*row, *[EMPTY] * (slots - len(row))) for row in layer)
            )
            for layer in zip(*ranks, strict=True)
        )
    )


def experts_by_rank(placed: Placement) -> list[list[list[int]]]:
    """Return the experts by rank and layer, without empty slots."""
    return [
        [[item for item in row if item != EMPTY] for row in layers]
        for layers in zip(
            *(layer.slots for layer in placed.layers), strict=True
        )
    ]


def moves_between(old: Placement, new: Placement) -> int:
    """Return how many expert weights must be loaded to go to *new*.

    An expert that only changes its slot within a rank is not reloaded.
    """
    return sum(
        (
            collections.Counter(after) - collections.Counter((*before, EMPTY))
        ).total()
        for old_layer, new_layer in zip(old.layers, new.layers, strict=True)
        for before, after in zip(old_layer.slots, new_layer.slots, strict=True)
    )


def replica_counts(
    tokens: Sequence[float], ranks: int, slots: int
) -> list[int]:
    """Return the replicas by expert that minimise the largest share.

    Giving each spare slot to the expert with the largest share is optimal,
    since no other choice lowers the maximum.
    """
    count = [1] * len(tokens)
    heap = [(-load, expert) for expert, load in enumerate(tokens)]
    heapq.heapify(heap)
    for _ in range(ranks * slots - len(tokens)):
        if not heap:
            break
        _, expert = heap[0]
        count[expert] += 1
        if count[expert] == ranks:
            heapq.heappop(heap)
        else:
            share = tokens[expert] / count[expert]
            heapq.heapreplace(heap, (-share, expert))
    return count


def skew_bound(tokens: Sequence[float], ranks: int, slots: int) -> float:
    """Return a lower bound on the skew of any placement.

    Some rank carries the largest share, and the highest load is at least the
    mean. If every slot is needed for the first replica of an expert, the rank
    with the largest share also fills its other slots, at best with the experts
    of the lowest load.
    """
    total = sum(tokens)
    if not total:
        return 1.0
    count = replica_counts(tokens, ranks, slots)
    share = max(load / n for load, n in zip(tokens, count, strict=True))
    if ranks * slots == len(tokens):
        share += sum(sorted(tokens)[: slots - 1])
    return max(1.0, share * ranks / total)


def solve(tokens: Sequence[float], ranks: int, slots: int) -> LayerPlacement:
    """Return a new placement; largest shares go to the least loaded ranks."""
    count = replica_counts(tokens, ranks, slots)
    shares = sorted(
        (
            (load / n, expert)
            for expert, (load, n) in enumerate(zip(tokens, count, strict=True))
            for _ in range(n)
        ),
        reverse=True,
    )
    rows: list[list[int]] = [[] for _ in range(ranks)]
    heap = [(0.0, rank) for rank in range(ranks)]
    for share, expert in shares:
        skipped = []
        while heap and expert in rows[heap[0][1]]:
            skipped.append(heapq.heappop(heap))
        if not heap:
            # Every rank with a free slot already holds the expert.
            heap, skipped = skipped, []
        load, rank = heapq.heappop(heap)
        rows[rank].append(expert)
        if len(rows[rank]) < slots:
            heapq.heappush(heap, (load + share, rank))
        for item in skipped:
            heapq.heappush(heap, item)
    return LayerPlacement(
        tuple((*row, *[EMPTY] * (slots - len(row))) for row in rows)
    )


def uniform(experts: int, ranks: int, slots: int, layers: int) -> Placement:
    """Return the placement for equal loads, the initial map of a group."""
    layer = solve([1.0] * experts, ranks, slots)
    return Placement((layer,) * layers)
