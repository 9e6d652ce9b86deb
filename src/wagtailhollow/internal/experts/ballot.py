"""Ballots: identifiers of switch rounds, ordered field by field."""

from __future__ import annotations

from ..wire.gen import ttypes

NO_BALLOT = ttypes.Ballot(0, 0, '')
"""Lower than any ballot of a round; the promise of an agent that has made none
since its start."""


def sort_key(ballot: ttypes.Ballot) -> tuple[int, int, str]:
    """Return a key that sorts ballots."""
    return ballot.fencing, ballot.attempt, ballot.node


def next_after(
    highest: ttypes.Ballot, fencing: int, node: str
) -> ttypes.Ballot:
    """Return a ballot of *node* above *highest*, with at least *fencing*."""
    if fencing > highest.fencing:
        return ttypes.Ballot(fencing, 1, node)
    return ttypes.Ballot(highest.fencing, highest.attempt + 1, node)
