"""Rendezvous hashing: assigns keys to nodes without coordination.

Each node ranks all live nodes for a key by a hash of the key and the node's
name. Nodes with the same list of live nodes choose the same ones, and when a
node leaves, only the keys assigned to it move.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Return the score of *node* for *key*; higher scores rank first."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{node}'.encode())


def highest_ranked(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """Return the *count* highest-ranked nodes for *key*, best first."""
    return heapq.nlargest(
        count, nodes, key=lambda node: (score(key, node), node)
    )
