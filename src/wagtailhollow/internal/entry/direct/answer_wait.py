"""Decides how long to wait for the next bytes of a target's answer.

Only a stream that can resume is given up for its target's silence, and only if
another target can take the call.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ...directory import model
from ...http1 import connection
from . import caller_timeouts, targets

T = TypeVar('T')

CHECK_PERIOD_S = 0.1
"""Period of the check whether the load reports of an unresponsive target are
overdue; shorter than the agents' report period of 0.15 s."""


class AnswerWait:
    """Waits for the answer of one attempt, on a connection that holds it.

    A time-out may end a wait in the same turn of the event loop in which bytes
    arrive. They stay in the connection until it has returned them, so that the
    next wait gets them.
    """

    def __init__(
        self,
        conn: connection.HttpConnection,
        view: targets.DirectTargets,
        record: model.TargetRecord,
        route: model.Route,
        can_be_replaced: Callable[[], bool],
    ) -> None:
        """Create a wait for an answer of *record*.

        :param can_be_replaced: returns whether another target can take the
            call now.
        """
        self._conn = conn
        self._view = view
        self._record = record
        self._route = route
        self._can_be_replaced = can_be_replaced

    async def head(self) -> connection.Head:
        """Return the head of the answer.

        If the load reports of the target are overdue as well, its host may be
        frozen. The stream then fails over before its caller disconnects.

        :raises ResponseLost: the head is not waited for any more.
        """
        start_s = time.monotonic()
        return await self._repeat(
            self._conn.head, lambda: self._until_silent_s(start_s)
        )

    async def first_bytes(self, head_s: float) -> bytes:
        """Return the next bytes before the first event.

        :param head_s: when the head of the answer arrived.
        :raises ResponseLost: they are not waited for any more.
        """
        start_s = time.monotonic()
        limit_s = caller_timeouts.event_timeout_s(self._route)
        reason = f'no event within {limit_s:.1f} s of the head'
        return await self._repeat(
            self._conn.read,
            lambda: min(
                self._until_silent_s(start_s),
                self._until_s(head_s + limit_s, reason),
            ),
        )

    async def next_bytes(self, event_s: float) -> bytes:
        """Return the next bytes after the first event.

        The time-out ends with an event and not with any byte, as callers wait
        for events.

        :param event_s: when the last event was relayed.
        :raises ResponseLost: they are not waited for any more.
        """

        def left_s() -> float:
            idle_s = caller_timeouts.idle_timeout_s(
                self._route, self._view.pass_s(self._record)
            )
            return self._until_s(
                event_s + idle_s, f'the stream had no event for {idle_s:.1f} s'
            )

        return await self._repeat(self._conn.read, left_s)

    async def _repeat(
        self, receive: Callable[[], Awaitable[T]], left_s: Callable[[], float]
    ) -> T:
        """Return what *receive* returns, called again after each time-out.

        :param left_s: returns the time until the wait is judged again; raises
            ResponseLost to end it.
        """
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s()):
                    return await receive()

    def _until_s(self, end_s: float, reason: str) -> float:
        """Return the time until *end_s*, or until the next check after it.

        :raises ResponseLost: with *reason*, if the time is over and another
            target can take the call.
        """
        left_s = end_s - time.monotonic()
        if left_s <= 0 and self._can_be_replaced():
            raise connection.ResponseLost(reason)
        return max(left_s, CHECK_PERIOD_S)

    def _until_silent_s(self, start_s: float) -> float:
        """Return the time until the next check whether the target is silent.

        A slow engine is waited for as long as its agent reports passes of its
        group, or as no other target can take the call.

        :param start_s: when the wait began.
        :raises ResponseLost: the target is silent, and so is its agent or its
            group.
        """
        idle_s = caller_timeouts.idle_timeout_s(self._route, 0.0)
        left_s = start_s + idle_s - time.monotonic()
        if (
            left_s <= 0
            and (
                self._view.is_report_overdue(self._record)
                or self._view.is_stalled(self._record)
            )
            and self._can_be_replaced()
        ):
            raise connection.ResponseLost(
                'the target is silent, and so is its agent or its group'
            )
        return max(left_s, CHECK_PERIOD_S)
