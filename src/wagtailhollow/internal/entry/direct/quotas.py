"""Applies the quotas of a shortage to the calls of an entry."""

from __future__ import annotations

import math
from collections.abc import Callable

from ..shortage import demand, quota
from . import routed_call

ROOM_AGE_S = 0.02
"""Age from which the room of a service is worked out anew: a small part of the
period of load reports."""


class Quotas:
    """Quotas of the services, from load reports and demand."""

    def __init__(
        self,
        rates: demand.Demand,
        room: Callable[[routed_call.RoutedCall], quota.Room | None],
        clock: Callable[[], float],
    ) -> None:
        """Create quotas.

        :param room: returns what the targets of a call's service can serve in
            time, None if it is unknown.
        """
        self._rates = rates
        self._room = room
        self._clock = clock
        self._quotas: dict[str, quota.Quota] = {}
        self._rooms: dict[str, tuple[float, quota.Room | None]] = {}

    def try_take(self, call: routed_call.RoutedCall) -> bool:
        """Return whether a call may take a place now, and count it.

        A call that may have run goes on, and so does any call while demand or
        room are unknown.
        """
        service = call.service_name
        total = self._rates.rates(service)
        room = self._recent_room(call)
        if (
            room is None
            or not any(total.values())
            or call.execution.may_have_run
        ):
            return True
        return self._quotas.setdefault(
            service, quota.Quota(self._clock)
        ).try_take(
            quota.LATE if call.is_late else call.level,
            room,
            self._rates.own_rates(service),
            total,
            call.cost,
        )

    def _recent_room(self, call: routed_call.RoutedCall) -> quota.Room | None:
        now_s = self._clock()
        made_s, room = self._rooms.get(call.service_name, (-math.inf, None))
        if now_s - made_s > ROOM_AGE_S:
            room = self._room(call)
            self._rooms[call.service_name] = now_s, room
        return room
