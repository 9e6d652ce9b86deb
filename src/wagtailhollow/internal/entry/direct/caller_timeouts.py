"""What callers bear: how long they wait, and whether they waited before."""

from __future__ import annotations

import math

from ...directory import model

MIN_EVENT_TIMEOUT_S = 2.0
OBJECTIVES = 4
GAPS = 8
"""Callers leave a stream that is silent for the longest of this time, this
many objectives and this many of its pauses; so the platform's pages say."""

FIRST_EVENT_S = 0.6
"""Time from a target's slot to the first event, with long prompts before."""

FIRST_SHARE = 0.8
"""Callers of one route state deadlines that differ by up to 15 in 100 in
their first attempt; one that waited and came back states less than that."""


def max_wait_s(route: model.Route) -> float:
    """Return for how long a call may wait before it is sent.

    A caller who leaves has lost that time; one that is refused comes back.
    """
    if route.kind is not model.CallKind.STREAM:
        return math.inf
    silence_s = max(
        MIN_EVENT_TIMEOUT_S, OBJECTIVES * route.objective_s, GAPS * route.gap_s
    )
    return silence_s - FIRST_EVENT_S


class RouteDeadlines:
    """The longest deadline that callers of each route have stated."""

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def is_later_attempt(self, route: str, deadline_s: float) -> bool:
        """Note a stated deadline; return whether time was lost before.

        Such a call is late already: its aim counts from the first attempt.
        """
        longest_s = max(self._longest_s.get(route, 0.0), deadline_s)
        self._longest_s[route] = longest_s
        return deadline_s < FIRST_SHARE * longest_s

    def keep_only(self, routes: set[str]) -> None:
        """Forget all other routes."""
        for name in self._longest_s.keys() - routes:
            del self._longest_s[name]
