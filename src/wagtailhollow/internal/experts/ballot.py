"""Ballots: numbers of switch rounds, ordered field by field."""

from __future__ import annotations

from ..wire.gen import ttypes

NO_BALLOT = ttypes.Ballot(0, 0, '')
"""Below each ballot of a round; what a rank without a promise reports."""


def order(ballot: ttypes.Ballot) -> tuple[int, int, str]:
    """Return a key that sorts ballots."""
    return ballot.fencing, ballot.attempt, ballot.node


def next_after(seen: ttypes.Ballot, fencing: int, node: str) -> ttypes.Ballot:
    """Return a ballot of *node* above *seen*, with at least *fencing*."""
    if fencing > seen.fencing:
        return ttypes.Ballot(fencing, 1, node)
    return ttypes.Ballot(seen.fencing, seen.attempt + 1, node)
