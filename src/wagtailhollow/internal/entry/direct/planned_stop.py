"""The planned stop of an entry that calls targets directly.

From the signal on, calls are taken until the load balancer has noticed. Later
ones are taken only if their own deadlines end them before the process does,
and at the end the calls that are left are ended with an answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
import time
from collections.abc import AsyncIterator, Callable

from .... import errors
from . import routed_call

BALANCER_REMOVAL_S = 2.5
"""Time in which the load balancer in front removes a draining entry: after two
failed health checks, a second apart. Open connections are closed with the
response to their next request."""

EXIT_S = 0.5
"""Time reserved for the last answers and the exit of the process."""

RETRY_AFTER_S = 0.05
"""Retry-After of a refused call; the caller's retry reaches another entry."""


@dataclasses.dataclass(frozen=True)
class StopTimes:
    """Times of a planned stop, in seconds after the signal.

    :ivar notice_s: until then all calls are taken.
    :ivar calls_end_s: at which the calls that are left are ended.
    """

    notice_s: float
    calls_end_s: float

    @classmethod
    def within(cls, grace_s: float) -> StopTimes:
        """Return the times for a process that is killed after *grace_s*."""
        calls_end_s = max(0.0, grace_s - EXIT_S)
        return cls(min(BALANCER_REMOVAL_S, calls_end_s), calls_end_s)


class PlannedStop:
    """When the entry stops, and what calls may do until then."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._begun_s: float | None = None
        self._times = StopTimes(math.inf, math.inf)
        self._limits: dict[asyncio.Timeout, Callable[[], float]] = {}

    @property
    def is_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self._begun_s is not None

    def begin(self, times: StopTimes) -> None:
        """Begin the stop."""
        self._begun_s = self._clock()
        self._times = times
        for limit, left_s in self._limits.items():
            limit.reschedule(_loop_time(left_s()))

    def elapsed_s(self) -> float | None:
        """Return the time since the stop began, None before it."""
        if self._begun_s is None:
            return None
        return self._clock() - self._begun_s

    def notice_left_s(self) -> float:
        """Return the time for which all calls are still taken."""
        return self._left_s(self._times.notice_s)

    def calls_left_s(self) -> float:
        """Return the time until the calls that are left are ended."""
        return self._left_s(self._times.calls_end_s)

    def screen(self, call: routed_call.RoutedCall) -> None:
        """Raise Refusal if it is too late to send a call for the first time.

        A call that may have run goes on, as refusing it would say less about
        it than its answer.
        """
        if (
            not call.execution.may_have_run
            and self._start_left_s(call.deadline_s) < 0
        ):
            raise _refusal()

    def until_latest_start(
        self, deadline_s: float
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Bound what precedes the first attempt of a call.

        :param deadline_s: monotonic time of the call's deadline.
        :return: a context manager that raises Refusal when it is too late.
        """
        return self._limit(lambda: self._start_left_s(deadline_s))

    def until_calls_end(self) -> contextlib.AbstractAsyncContextManager[None]:
        """Bound the answer to a call.

        :return: a context manager that raises Refusal when calls are ended.
        """
        return self._limit(self.calls_left_s)

    def _start_left_s(self, deadline_s: float) -> float:
        ends_itself = deadline_s - self._clock() <= self.calls_left_s()
        return self.calls_left_s() if ends_itself else self.notice_left_s()

    def _left_s(self, after_s: float) -> float:
        elapsed_s = self.elapsed_s()
        return math.inf if elapsed_s is None else after_s - elapsed_s

    @contextlib.asynccontextmanager
    async def _limit(self, left_s: Callable[[], float]) -> AsyncIterator[None]:
        limit = asyncio.timeout_at(_loop_time(left_s()))
        self._limits[limit] = left_s
        try:
            async with limit:
                yield
        except TimeoutError as exc:
            if not limit.expired():
                raise
            raise _refusal() from exc
        finally:
            del self._limits[limit]


def _loop_time(left_s: float) -> float | None:
    """Return the loop time in *left_s*, None if that is infinite."""
    if math.isinf(left_s):
        return None
    return asyncio.get_running_loop().time() + left_s


def _refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.ErrorKind.ENTRY_STOPPING,
        'the entry stops before the call could be completed',
        retry_after_s=RETRY_AFTER_S,
    )
