"""Lets the calls of an entry look for a target one after the other."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import time
from collections.abc import Callable, Hashable
from typing import Protocol

from .... import errors
from ...observability import decisions, metrics
from .. import call as call_module
from . import order, outlook

SWEEP_PERIOD_S = 0.025
"""Period at which waiting calls look for places that have become free; the
list of available targets is as old as that."""

TARGET_POLL_INTERVAL_S = 0.05
"""Mean pause of a call that waits by itself."""

STARVED_SHARE = 0.05
"""Share of the places that a level gets at least while it waits, so that no
kind of call is starved by more urgent ones in a long shortage."""

STARVATION_WINDOW_S = 2.0


class Turns(Protocol):
    """Decides when a call that found no target looks again."""

    def require_chance(self, call: call_module.Call) -> None:
        """Raise Refusal if the call will find no place."""

    async def wait(self, call: call_module.Call, until_s: float) -> None:
        """Wait for the call's next turn, at most until a loop time."""

    def found(self, call: call_module.Call) -> None:
        """Record that a call has found a target."""


class RandomTurns:
    """Lets each call look again after a random pause."""

    def require_chance(self, call: call_module.Call) -> None:
        """See :class:`Turns`."""

    async def wait(self, call: call_module.Call, until_s: float) -> None:
        """See :class:`Turns`."""
        await asyncio.sleep(TARGET_POLL_INTERVAL_S * random.uniform(0.5, 1.5))

    def found(self, call: call_module.Call) -> None:
        """See :class:`Turns`."""


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    call: call_module.Call
    turn: asyncio.Future[None]


class OrderedTurns:
    """Gives turns to waiting calls in the order of their ranks.

    A turn is passed on when a call has found a target. When it has not, calls
    of other standings look as well, since limits differ by standing; no
    further one of the same standing does. Calls that do not compete by
    priority look at random times.
    """

    def __init__(
        self,
        rank: Callable[[call_module.Call], order.Rank | None],
        retry_after_s: Callable[[call_module.Call], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an empty queue for each service.

        :param rank: returns the rank of a call, None if it does not compete.
        :param retry_after_s: returns when a refused caller should return.
        """
        self._rank = rank
        self._retry_after_s = retry_after_s
        self._clock = clock
        self._queues: dict[str, _Queue] = {}
        self._random = RandomTurns()

    def require_chance(self, call: call_module.Call) -> None:
        """See :class:`Turns`.

        A caller that has been refused before waits, as it does not return
        again.
        """
        rank = self._rank(call)
        if rank is None:
            return
        queue = self._queue(call.service_name)
        if not rank.is_first_try or outlook.has_chance(
            queue.outlook_of(call), call.remaining_s()
        ):
            return
        metrics.shortage_refusals.labels(
            call.service_name, str(rank.standing.level)
        ).inc()
        raise errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            f'calls that go first take all places of {call.service_name}',
            retry_after_s=self._retry_after_s(call),
        )

    async def wait(self, call: call_module.Call, until_s: float) -> None:
        """See :class:`Turns`."""
        if self._rank(call) is None:
            await self._random.wait(call, until_s)
            return
        queue = self._queue(call.service_name)
        loop = asyncio.get_running_loop()
        waiter = _Waiter(call, loop.create_future())
        queue.add(waiter)
        try:
            async with asyncio.timeout_at(until_s):
                await waiter.turn
        except TimeoutError:
            return
        finally:
            queue.remove(waiter)

    def found(self, call: call_module.Call) -> None:
        """See :class:`Turns`."""
        if self._rank(call) is not None:
            self._queue(call.service_name).found(call)

    def _queue(self, service: str) -> _Queue:
        if service not in self._queues:
            self._queues[service] = _Queue(service, self._rank, self._clock)
        return self._queues[service]


class _Queue:
    """The waiting calls of one service."""

    def __init__(
        self,
        service: str,
        rank: Callable[[call_module.Call], order.Rank],
        clock: Callable[[], float],
    ) -> None:
        self._service = service
        self._rank = rank
        self._clock = clock
        self._waiters: dict[_Waiter, None] = {}
        self._upcoming: collections.deque[_Waiter] = collections.deque()
        self._grants: collections.deque[tuple[float, order.Standing]] = (
            collections.deque()
        )
        self._short_since_s: float | None = None
        self._looking: call_module.Call | None = None
        self._failed: set[Hashable] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, waiter: _Waiter) -> None:
        """Add a call that has found no target."""
        if self._short_since_s is None:
            self._short_since_s = self._clock()
        self._waiters[waiter] = None
        self._show_length()
        if self._timer is None:
            self._start_timer()
        if self._looking is waiter.call:
            self._failed.add(self._class_of(waiter.call))
            self._next()

    def remove(self, waiter: _Waiter) -> None:
        """Remove a call that looks again, has waited enough or has left."""
        del self._waiters[waiter]
        self._show_length()

    def found(self, call: call_module.Call) -> None:
        """Count a call that has found a target, and let the next one look."""
        self._grants.append((self._clock(), self._rank(call).standing))
        self._drop_old_grants()
        if self._looking is call:
            self._next()

    def outlook_of(self, call: call_module.Call) -> outlook.Queue:
        """Return what is known of the queue in front of a call."""
        now_s = self._clock()
        if self._short_since_s is None:
            return outlook.Queue(0.0, 0, 0.0, 0.0)
        rank = self._rank(call)
        since_s = now_s - outlook.GRANT_WINDOW_S
        recent = [
            standing for made_s, standing in self._grants if made_s > since_s
        ]
        reachable = sum(standing >= rank.standing for standing in recent)
        return outlook.Queue(
            now_s - self._short_since_s,
            sum(self._rank(item.call) < rank for item in self._waiters),
            len(recent) / outlook.GRANT_WINDOW_S,
            reachable / outlook.GRANT_WINDOW_S,
        )

    def _has_its_share(self, level: int) -> bool:
        self._drop_old_grants()
        own = sum(standing.level == level for _, standing in self._grants)
        return own >= STARVED_SHARE * len(self._grants)

    def _drop_old_grants(self) -> None:
        oldest_s = self._clock() - STARVATION_WINDOW_S
        while self._grants and self._grants[0][0] < oldest_s:
            self._grants.popleft()

    def _sweep(self) -> None:
        """Let calls look, starved levels first, then the lowest rank."""
        self._failed.clear()
        ranks = {item: self._rank(item.call) for item in self._waiters}
        has_share = {
            level: self._has_its_share(level)
            for level in {rank.standing.level for rank in ranks.values()}
        }
        self._upcoming = collections.deque(
            sorted(
                ranks,
                key=lambda item: (
                    has_share[ranks[item].standing.level],
                    ranks[item],
                ),
            )
        )
        self._next()

    def _next(self) -> None:
        """Give the turn to the next call that may find a target."""
        self._looking = None
        while self._upcoming:
            waiter = self._upcoming.popleft()
            if (
                waiter in self._waiters
                and not waiter.turn.done()
                and self._class_of(waiter.call) not in self._failed
            ):
                self._looking = waiter.call
                waiter.turn.set_result(None)
                return

    def _class_of(self, call: call_module.Call) -> Hashable:
        # Calls that are bound to regions have other targets.
        return self._rank(call).standing, getattr(call, 'regions', None)

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_PERIOD_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._waiters or self._looking is not None:
            self._sweep()
            self._start_timer()
        else:
            self._end_shortage()

    def _end_shortage(self) -> None:
        short_s = self._clock() - self._short_since_s
        self._short_since_s = None
        if short_s >= outlook.MIN_SHORTAGE_S:
            decisions.log(
                'shortage_ended',
                service=self._service,
                took_s=round(short_s, 3),
            )

    def _show_length(self) -> None:
        metrics.waiting_calls.labels(self._service).set(len(self._waiters))
