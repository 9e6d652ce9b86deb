"""How many places of the targets a call may use."""

from __future__ import annotations

import math

from ...directory import model

PASS_SHARE_OF_GAP = 0.9
"""Part of a stream's maximum gap between events that an engine pass may take;
the rest is left for delivering the event to the caller."""

MIN_ASSUMED_SLOWDOWN = 2.0
"""Smallest pass time, relative to that with evenly balanced experts, that is
assumed even if less is measured, since the demand can shift at any time. Just
after a shift: a skew of 2.2 in the experts' 85 % of the work."""

MIN_CONCURRENCY_SHARE = 0.5
"""Share of the slots that is used whatever the measured pass time, so that a
measurement cannot leave a target idle."""

LATE_CALL_MAX_SLOT_SHARE = 0.5
"""Share of a target's slots up to which late calls may use them; half of the
slots are in use at the usual call rate."""

MAX_QUEUE_SHARE = 0.5
"""Calls that may queue at a target, as a share of its slots. One slot in six
becomes free within about 0.2 s; in a longer queue calls would miss the 0.5 s
objective for the first token."""


def concurrency_limit(
    service: model.Service | None,
    slots: int,
    gap_s: float,
    running: int,
    pass_s: float,
) -> int:
    """Return how many streams a target can serve within their maximum gap.

    The reported pass time is compared with the engine model's for the same
    number of running requests; a slowdown of MIN_ASSUMED_SLOWDOWN is assumed
    at least, also without a report: a group that has just been formed has a
    map that does not match the demand, and all the calls that have waited for
    it. It also comes from copying weights.

    :param gap_s: longest gap between events that the route allows, 0 if it
        sets none.
    :param running: reported running calls.
    :param pass_s: reported pass time, 0 if unknown.
    """
    if service is None or service.engine is None or not gap_s:
        return slots
    engine = service.engine
    if not pass_s and engine.experts is None:
        return slots
    slowdown = max(
        MIN_ASSUMED_SLOWDOWN, pass_s / engine.pass_s(max(1, running))
    )
    sustainable = engine.sequences_within(PASS_SHARE_OF_GAP * gap_s / slowdown)
    minimum = math.ceil(slots * MIN_CONCURRENCY_SHARE)
    return min(slots, max(minimum, sustainable))


def call_limit(
    slots: int, cap: int, is_late: bool, is_in_time: bool = True
) -> float:
    """Return up to how many calls at a target one more may be sent to it.

    Late calls leave slots free for calls that can still meet their latency
    objective. A full batch takes twice as long per token, so a backlog would
    otherwise make all later calls late as well. If the cap is at its minimum
    (MIN_CONCURRENCY_SHARE), late calls may use as much as all others. At a
    target that is too slow for calls in time they use all slots.

    :param is_in_time: whether the target can answer calls in time.
    """
    if is_late:
        return LATE_CALL_MAX_SLOT_SHARE * slots if is_in_time else slots
    if cap < slots:
        # No call may queue here: slots above the cap are free, so the engine
        # would start it at once and exceed the cap.
        return cap
    return (1 + MAX_QUEUE_SHARE) * slots
