"""Hedged requests: a slow call gets a second attempt, the first answer counts.

Only calls that may be repeated are hedged, and only within the retry budget.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping

from ..streams import sink as sink_module


class RaceLost(Exception):
    """Another attempt of the call answered first."""


class Race:
    """Lets only the attempt that answers first write to the caller.

    :ivar decided: set as soon as one attempt has started to answer.
    """

    def __init__(self, sink: sink_module.AnswerSink) -> None:
        self._sink = sink
        self._winner: AttemptSink | None = None
        self.decided = asyncio.Event()

    def new_sink(self) -> AttemptSink:
        """Return the sink for one attempt."""
        return AttemptSink(self)

    def sink_of_caller(
        self, attempt_sink: AttemptSink
    ) -> sink_module.AnswerSink:
        """Return the caller's sink if this attempt answered first.

        :raises RaceLost: another attempt answered first.
        """
        if self._winner is None:
            self._winner = attempt_sink
            self.decided.set()
        if self._winner is not attempt_sink:
            raise RaceLost
        return self._sink

    def is_won_by(self, attempt_sink: AttemptSink) -> bool:
        """Return whether the attempt of that sink answered first."""
        return self._winner is attempt_sink


class AttemptSink:
    """Answer sink of one of several concurrent attempts."""

    def __init__(self, race: Race) -> None:
        self._race = race
        self._data_centre = ''

    @property
    def is_started(self) -> bool:
        """Return whether this attempt has started to answer the caller."""
        return self._race.is_won_by(self)

    def set_data_centre(self, data_centre: str) -> None:
        """See :class:`sink_module.AnswerSink`."""
        self._data_centre = data_centre

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """See :class:`sink_module.AnswerSink`."""
        sink = self._race.sink_of_caller(self)
        sink.set_data_centre(self._data_centre)
        await sink.start(status, headers)

    async def write(self, data: bytes) -> None:
        """See :class:`sink_module.AnswerSink`."""
        await self._race.sink_of_caller(self).write(data)

    async def finish(self) -> None:
        """See :class:`sink_module.AnswerSink`."""
        await self._race.sink_of_caller(self).finish()


async def run(
    sink: sink_module.AnswerSink,
    first: Callable[[sink_module.AnswerSink], Awaitable[None]],
    second: Callable[[sink_module.AnswerSink], Awaitable[None]],
    delay_s: float,
    may_hedge: Callable[[], bool],
) -> None:
    """Run *first* and, if it has not answered after *delay_s*, also *second*.

    Returns when one of them has sent its whole answer. Raises the exception
    of the attempt that answered first, or of the last one if both failed
    before they answered.
    """
    race = Race(sink)
    attempt_sinks = [race.new_sink()]
    tasks = [asyncio.create_task(first(attempt_sinks[0]))]
    try:
        await _wait_for_answer(race, tasks, delay_s)
        if not race.decided.is_set() and not tasks[0].done() and may_hedge():
            attempt_sinks.append(race.new_sink())
            tasks.append(asyncio.create_task(second(attempt_sinks[1])))
        await _wait_for_result(race, attempt_sinks, tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_for_answer(
    race: Race, tasks: list[asyncio.Task[None]], delay_s: float
) -> None:
    decision = asyncio.create_task(race.decided.wait())
    try:
        await asyncio.wait(
            (*tasks, decision),
            timeout=delay_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        decision.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await decision


async def _wait_for_result(
    race: Race,
    attempt_sinks: list[AttemptSink],
    tasks: list[asyncio.Task[None]],
) -> None:
    pending = set(tasks)
    failure: BaseException | None = None
    while pending:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            failure = task.exception()
            if failure is None:
                return
            if race.is_won_by(attempt_sinks[tasks.index(task)]):
                raise failure
    if failure is not None:
        raise failure
