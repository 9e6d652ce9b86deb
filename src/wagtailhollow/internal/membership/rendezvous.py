"""Rendezvous hashing: who does a key, without agreement.

Each node ranks all live nodes for a key by a hash of both names; nodes with
the same view of the live nodes choose the same ones, and when a node leaves
only its own duties move.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Return the rank of *node* for *key*; the highest wins."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{node}'.encode())


def highest_ranked(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the *count* highest-ranked nodes for *key*, best first."""
    return heapq.nlargest(
        count, nodes, key=lambda node: (score(key, node), node)
    )
