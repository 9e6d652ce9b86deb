"""Rendezvous hashing: assigns keys to candidates without coordination.

Each process ranks the candidates for a key, such as nodes, by a hash of the
key and the candidate's name. Processes with the same candidates choose the
same ones, and when a candidate is removed, only the keys assigned to it move.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

import xxhash


def score(key: str, candidate: str) -> int:
    """Return the score of *candidate* for *key*; higher scores rank first."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{candidate}'.encode())


def highest_ranked(
    key: str, candidates: Iterable[str], count: int
) -> list[str]:
    """Return the *count* highest-ranked candidates for *key*, best first."""
    return heapq.nlargest(
        count, candidates, key=lambda name: (score(key, name), name)
    )
