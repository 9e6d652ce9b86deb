"""Chooses between targets by the pace at which they answer."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from typing import TypeVar

T = TypeVar('T')

FIRST_EVENT_PASSES = 2.0
"""Passes until the first event of a stream: the one that runs when the call
arrives, and the one that reads the prompt."""

MAX_FIRST_EVENT_SHARE = 0.5
"""Largest part of a latency objective that is set aside for the first event:
with slow passes everywhere each call would otherwise count as late."""

TOLERATED_GAPS = 1.5
"""Pass time, in gaps, up to which a target counts as in time. Just after a
shift of the demand passes are that long until the next map, within the time
that the stream takes to start."""

SLOW_PASSES = 2.5
"""Passes within which a stream has its first event even if its prompt takes
several of them."""


class Pace(enum.IntEnum):
    """What a target can do for a stream, the best first."""

    IN_TIME = 0
    LATE = 1
    TOO_SLOW = 2


def pace_of(
    pass_s: float,
    gap_s: float,
    patience_s: float,
    passes: float,
    remaining_s: float,
) -> Pace:
    """Return what a target with a pass time can do for a stream.

    :param pass_s: pass time of the target's group, 0 if unknown.
    :param gap_s: longest gap between events that is in time, 0 for any.
    :param patience_s: time without an event after which callers leave.
    :param passes: passes that the stream takes.
    :param remaining_s: time until the deadline of the stream.
    """
    if not gap_s or pass_s <= TOLERATED_GAPS * gap_s:
        return Pace.IN_TIME
    if SLOW_PASSES * pass_s <= patience_s and passes * pass_s <= remaining_s:
        return Pace.LATE
    return Pace.TOO_SLOW


def preferred(
    items: Sequence[T],
    pace: Callable[[T], Pace],
    is_late: bool,
    best: Callable[[], Pace],
) -> list[T]:
    """Return the items among which a call's target is chosen.

    A call that can be in time waits for a target that can answer in time, as
    long as there is one: at a slow one its answer would be late at once. A
    late call takes a slow target and leaves the others to calls in time. A
    target that is too slow is used only if all are.

    :param items: targets with a free place.
    :param best: returns the best pace of all targets that accept calls, also
        of full ones.
    :return: a part of *items*, empty if the call has to wait.
    """
    by_pace: dict[Pace, list[T]] = {}
    for item in items:
        by_pace.setdefault(pace(item), []).append(item)
    if is_late and Pace.LATE in by_pace:
        return by_pace[Pace.LATE]
    if Pace.IN_TIME in by_pace:
        return by_pace[Pace.IN_TIME]
    found = min(by_pace, default=None)
    worst = max(best(), Pace.LATE) if is_late else best()
    return by_pace[found] if found is not None and found <= worst else []


def first_event_s(pass_s: float, objective_s: float) -> float:
    """Return the time to the first event at a target with a free place.

    :param pass_s: shortest pass time of the targets, 0 if unknown.
    """
    return min(
        FIRST_EVENT_PASSES * pass_s, MAX_FIRST_EVENT_SHARE * objective_s
    )
