"""Shares the calls that targets can serve in time between levels and entries.

All entries see the same load reports and the same sums of demand, so that each
works out the same shares, and takes the part of its own demand.
"""

from __future__ import annotations

import dataclasses
import itertools
import statistics
import time
from collections.abc import Callable, Mapping, Sequence

from ...directory import model
from . import places as limits

SETTLE_S = 1.0
"""Time in which places beyond those that should be in use become free, or free
ones are used."""

MIN_SHARE = 0.05
"""Part of the rate that each level gets at least, so that no kind of call is
starved by more urgent ones in a long shortage."""

LATE_FILL = 0.8
"""Part of the places up to which late calls use them. After a stall all calls
of some seconds are late at once: in all places, they would make those that
come next late as well."""

BURST_S = 0.25
"""Time for which calls may come at once: that between two load reports."""

MAX_COST = 4.0
MIN_COST = 0.25
"""Bounds of a call's cost, in usual calls. Callers state the most tokens that
they want, which can be far from what they get."""

LATE = -1
"""Key of the calls that are late, of all levels."""


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What the targets that answer in time can serve.

    :ivar places: calls that may run at the same time.
    :ivar in_use: calls that run or wait at them.
    :ivar work_s: time for which a usual call takes a place.
    """

    places: float
    in_use: float
    work_s: float


def room(
    engine: model.EngineModel,
    places: float,
    in_use: float,
    passes_s: Sequence[float],
) -> Room:
    """Return the room of targets with a model of their engines.

    A group that has just been formed reports no pass time, and its map does
    not match the demand.

    :param passes_s: reported pass times.
    """
    pass_s = (
        statistics.fmean(passes_s)
        if passes_s
        else limits.MIN_ASSUMED_SLOWDOWN * engine.pass_s(engine.slots)
    )
    return Room(places, in_use, engine.usual_passes * pass_s)


def calls_per_s(room: Room) -> float:
    """Return how many calls per second the targets can take."""
    return max(
        0.0,
        room.places / room.work_s + (room.places - room.in_use) / SETTLE_S,
    )


def shares(rate: float, demand: Sequence[float]) -> list[float]:
    """Return the part of the calls of each level that is sent.

    :param rate: calls per second that the targets can take.
    :param demand: calls per second of each level, the most urgent first.
    """
    before = itertools.accumulate(demand, initial=0.0)
    least = MIN_SHARE * rate
    return [
        min(1.0, max(rate - taken, least) / wanted) if wanted else 1.0
        for wanted, taken in zip(demand, before, strict=False)
    ]


def late_calls_per_s(room: Room, demand: float) -> float:
    """Return how many late calls per second the targets can take.

    :param demand: calls per second that are in time.
    """
    part = dataclasses.replace(room, places=LATE_FILL * room.places)
    return max(
        calls_per_s(part) - demand,
        MIN_SHARE * room.places / room.work_s,
    )


def cost(tokens: int, usual_tokens: float) -> float:
    """Return the work of a call, in usual calls.

    :param tokens: most tokens of the answer, 0 if unknown.
    """
    if not tokens or usual_tokens <= 0:
        return 1.0
    return min(MAX_COST, max(MIN_COST, tokens / usual_tokens))


@dataclasses.dataclass(slots=True)
class _Bucket:
    tokens: float
    filled_s: float


class Quota:
    """Tokens of one entry for the calls of one service."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}

    def try_take(
        self,
        key: int,
        room: Room,
        own: Mapping[int, float],
        total: Mapping[int, float],
        call_cost: float,
    ) -> bool:
        """Return whether a call may be sent, and count it.

        :param key: level of the call, or LATE.
        :param own: calls per second of each level at this entry.
        :param total: the same over all entries.
        """
        levels = sorted(total)
        demand = [total[level] for level in levels]
        parts = shares(calls_per_s(room), demand)
        part_by_level = dict(zip(levels, parts, strict=True))
        if key == LATE:
            own_part = sum(own.values()) / max(sum(demand), 1e-9)
            allowed = min(1.0, own_part) * late_calls_per_s(room, sum(demand))
        elif part_by_level.get(key, 1.0) >= 1:
            self._buckets.pop(key, None)
            return True
        else:
            allowed = own.get(key, 0.0) * part_by_level[key]
        return self._take(key, allowed, call_cost)

    def _take(self, key: int, allowed: float, call_cost: float) -> bool:
        now_s = self._clock()
        most = max(1.0, allowed * BURST_S)
        bucket = self._buckets.setdefault(key, _Bucket(most, now_s))
        bucket.tokens = min(
            most, bucket.tokens + (now_s - bucket.filled_s) * allowed
        )
        bucket.filled_s = now_s
        # A large call is sent on credit: it would never find as many tokens.
        if bucket.tokens < min(1.0, call_cost):
            return False
        bucket.tokens -= call_cost
        return True
