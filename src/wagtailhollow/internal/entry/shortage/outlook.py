"""Decides whether a waiting call still has a chance, and when to return."""

from __future__ import annotations

import dataclasses
import random

MIN_SHORTAGE_S = 1.0
"""How long calls have to be waiting before one is refused for want of a
chance. Shorter shortages, as in a change of an expert map, end by themselves
within the time that a call may wait."""

GRANT_WINDOW_S = 1.0
"""Window over which the calls that got a place are counted."""

RETURN_SHARE = 1 / 3
"""Part of its remaining time that a refused caller waits at most, as the
platform specifies."""

MIN_RETURN_SHARE = 0.5
"""Smallest part of that time that is asked for. Callers that are refused in
the same moment are spread over the rest."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queue:
    """What an entry has seen of the calls that wait for a service.

    :ivar shortage_s: how long calls have been waiting without a break.
    :ivar ahead: waiting calls that go before the one in question.
    :ivar grants_per_s: rate of the calls that got a place.
    :ivar reachable_per_s: rate of those among them that go after the call in
        question, or have the same standing.
    """

    shortage_s: float
    ahead: int
    grants_per_s: float
    reachable_per_s: float


def has_chance(queue: Queue, left_s: float) -> bool:
    """Return whether a call can expect a place before its deadline.

    If no call gets a place, as while a group is formed again, nothing is known
    about the time after.

    :param left_s: time until the deadline of the call.
    """
    if queue.shortage_s < MIN_SHORTAGE_S or not queue.grants_per_s:
        return True
    return queue.ahead + 1 <= queue.reachable_per_s * left_s


def retry_after_s(remaining_s: float, rng: random.Random) -> float:
    """Return when a refused caller should come back.

    Bursts last for seconds, so that callers are spread over the longest time
    that they wait.

    :param remaining_s: time until the deadline of the call.
    """
    share = rng.uniform(MIN_RETURN_SHARE, 1.0)
    return max(0.0, remaining_s) * RETURN_SHARE * share
