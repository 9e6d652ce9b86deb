"""Measures how many calls arrive, by service and level.

An entry sees a part of the calls only. It tells agents its own rates with its
subscriptions, and agents tell it the sum over all entries with the list of
entries, so that all entries yield to the same urgent demand.
"""

from __future__ import annotations

import collections
import math
import time
from collections.abc import Callable

from ...datagram import demand_rows
from ...directory import model
from ...observability import decisions
from . import order

RATE_WINDOW_S = 1.0
"""Time constant of the rates: a burst has to show within a second or two."""

MAX_SUM_AGE_S = 3.0
"""Age from which a sum of all entries is ignored: three periods of the
subscriptions."""


CONTESTED_SHARE = 0.05
"""Part of a service's calls from which those of a priority compete."""


class _Rate:
    """Exponentially decaying rate of events."""

    __slots__ = ('_rate', '_updated_s')

    def __init__(self, now_s: float) -> None:
        self._rate = 0.0
        self._updated_s = now_s

    def add(self, now_s: float) -> None:
        self._rate = self.value(now_s) + 1 / RATE_WINDOW_S
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        age_s = now_s - self._updated_s
        return self._rate * math.exp(-age_s / RATE_WINDOW_S)


class Demand:
    """Rates of calls at this entry, and their sums over all entries."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._own: dict[demand_rows.Key, _Rate] = {}
        self._sums: collections.deque[
            tuple[float, dict[demand_rows.Key, float]]
        ] = collections.deque()
        self._entries = 1
        self._contested: set[str] = set()
        self._levels: dict[str, set[int]] = {}

    def configure(self, manifest: model.Manifest) -> None:
        """Set the services and their levels from a configuration."""
        of_organisations = {
            item.priority for item in (manifest.organisations or {}).values()
        } - {None}
        levels = collections.defaultdict(set)
        priorities = collections.defaultdict(set)
        for route in manifest.routes:
            found = {
                order.level_of(priority, route.priority)
                for priority in of_organisations | {route.priority}
            }
            for share in route.shares:
                levels[share.service] |= found
                priorities[share.service].add(route.priority)
        self._levels = dict(levels)
        contested = {
            service for service, found in priorities.items() if len(found) > 1
        }
        if contested != self._contested:
            self._contested = contested
            decisions.log('services_contested', services=sorted(contested))
        known = {
            demand_rows.key_of(service, level)
            for service, found in levels.items()
            for level in found
        }
        self._own = {
            key: rate for key, rate in self._own.items() if key in known
        }

    def is_contested(self, service: str) -> bool:
        """Return whether calls of routes of different priority compete.

        A configuration may have routes that nobody calls.
        """
        if service not in self._contested:
            return False
        by_priority: collections.Counter[int] = collections.Counter()
        for level, rate in self.rates(service).items():
            by_priority[level % order.PRIORITIES] += rate
        least = CONTESTED_SHARE * by_priority.total()
        return sum(rate > least for rate in by_priority.values()) > 1

    def record(self, service: str, level: int, is_stream: bool = True) -> None:
        """Count a call that has arrived and can still be in time.

        Calls without a stream, as probes on routes of their own, take no
        places for long and do not compete.
        """
        if not is_stream:
            return
        now_s = self._clock()
        self._own.setdefault(
            demand_rows.key_of(service, level), _Rate(now_s)
        ).add(now_s)

    def packed(self) -> bytes:
        """Return the rates of this entry, to tell the others."""
        now_s = self._clock()
        return demand_rows.pack(
            {key: rate.value(now_s) for key, rate in self._own.items()}
        )

    def record_sum(self, data: bytes) -> None:
        """Record the rates of all entries; raises ValueError."""
        if not data:
            return
        now_s = self._clock()
        self._sums.append((now_s, demand_rows.unpack(data)))
        while now_s - self._sums[0][0] > MAX_SUM_AGE_S:
            self._sums.popleft()

    def count_entries(self, entries: int) -> None:
        """Record how many entries an agent reports to."""
        self._entries = max(1, entries)

    def rate(self, service: str, level: int) -> float:
        """Return the calls per second of one level at all entries.

        Of several sums the largest counts: an agent that some entries cannot
        reach knows of fewer calls. Without a sum, as just after a start, all
        entries that agents count are taken to have as many calls as this one.
        """
        now_s = self._clock()
        key = demand_rows.key_of(service, level)
        own = self._own.get(key)
        return max(
            (
                sums.get(key, 0.0)
                for made_s, sums in self._sums
                if now_s - made_s <= MAX_SUM_AGE_S
            ),
            default=0.0,
        ) or (self._entries * own.value(now_s) if own else 0.0)

    def own_rates(self, service: str) -> dict[int, float]:
        """Return the calls per second of each level at this entry."""
        now_s = self._clock()
        return {
            level: self._own[key].value(now_s) if key in self._own else 0.0
            for level in self._levels.get(service, ())
            for key in (demand_rows.key_of(service, level),)
        }

    def rates(self, service: str) -> dict[int, float]:
        """Return the calls per second of each level at all entries."""
        return {
            level: self.rate(service, level)
            for level in self._levels.get(service, ())
        }
