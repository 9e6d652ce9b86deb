"""Time-outs of callers: how long they wait and whether they waited before."""

from __future__ import annotations

import math

from ...directory import model

MIN_EVENT_TIMEOUT_S = 2.0
OBJECTIVES_PER_TIMEOUT = 4
GAPS_PER_TIMEOUT = 8
"""Callers disconnect from a stream if no event arrives for the longest of
MIN_EVENT_TIMEOUT_S, OBJECTIVES_PER_TIMEOUT latency objectives and
GAPS_PER_TIMEOUT maximum gaps of the route, as the platform specifies.
"""

IDLE_SHARE = 0.6
MAX_IDLE_SHARE = 0.85
"""Shares of the callers' time-out after which a stream without an event is
resumed, of a usual and of a slow group."""

SLOW_PASSES = 2.0
"""Passes without an event after which a stream of a slow group is resumed."""

FIRST_EVENT_S = 0.6
"""Time to the first event once a target has a free slot, even if the engine
has long prompts to process before."""

FIRST_REQUEST_MIN_SHARE = 0.8
"""Smallest share of a route's longest caller time-out with which a call still
counts as a caller's first request. The time-outs of first requests on one
route differ by up to 15 %; a caller that waited and retries has less time left
than that."""


def max_wait_s(route: model.Route) -> float:
    """Return how long a call may wait for a target before it is sent.

    Waiting until the caller leaves wastes that time; a caller that is refused
    earlier can retry.
    """
    if route.kind is not model.CallKind.STREAM:
        return math.inf
    return event_timeout_s(route) - FIRST_EVENT_S


def event_timeout_s(route: model.Route) -> float:
    """Return the time without an event after which callers disconnect."""
    return max(
        MIN_EVENT_TIMEOUT_S,
        OBJECTIVES_PER_TIMEOUT * route.objective_s,
        GAPS_PER_TIMEOUT * route.gap_s,
    )


def idle_timeout_s(route: model.Route, pass_s: float) -> float:
    """Return the time without an event after which a stream is resumed.

    A target whose group makes slow passes keeps its streams for two of them,
    as long as there is time to resume elsewhere before the caller leaves.

    :param pass_s: mean pass time that the target's agent reports, 0 if it is
        not known.
    """
    limit_s = event_timeout_s(route)
    return min(
        max(IDLE_SHARE * limit_s, SLOW_PASSES * pass_s),
        MAX_IDLE_SHARE * limit_s,
    )


class CallerTimeouts:
    """The longest time-out that callers have given on each route."""

    def __init__(self) -> None:
        self._max_timeout_s: dict[str, float] = {}

    def is_caller_retry(self, route: str, caller_timeout_s: float) -> bool:
        """Record a call's time-out; return whether it is a caller's retry.

        A retry counts as late: the latency objective counts from the caller's
        first request.

        :param caller_timeout_s: time that the caller allowed for this call.
        """
        max_timeout_s = max(
            self._max_timeout_s.get(route, 0.0), caller_timeout_s
        )
        self._max_timeout_s[route] = max_timeout_s
        return caller_timeout_s < FIRST_REQUEST_MIN_SHARE * max_timeout_s

    def keep_only(self, routes: set[str]) -> None:
        """Drop the time-outs of all other routes."""
        for name in self._max_timeout_s.keys() - routes:
            del self._max_timeout_s[name]
