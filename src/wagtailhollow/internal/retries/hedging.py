"""Hedging: a second attempt of a slow call; the first answer wins.

Only for calls that may be repeated, and only within the retry budget.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping

from ..streams import sink as sink_module


class Outrun(Exception):
    """Another attempt answered first."""


class Race:
    """Lets the first of several attempts write to the caller."""

    def __init__(self, sink: sink_module.AnswerSink) -> None:
        self._sink = sink
        self._winner: Lane | None = None
        self.decided = asyncio.Event()

    def lane(self) -> Lane:
        """Return the sink for one attempt."""
        return Lane(self)

    def claim(self, lane: Lane) -> sink_module.AnswerSink:
        """Return the caller's sink if *lane* answered first.

        :raises Outrun: another lane did.
        """
        if self._winner is None:
            self._winner = lane
            self.decided.set()
        if self._winner is not lane:
            raise Outrun
        return self._sink

    def is_won_by(self, lane: Lane) -> bool:
        """Return whether *lane* answered first."""
        return self._winner is lane


class Lane:
    """Answer sink of one attempt in a race."""

    def __init__(self, race: Race) -> None:
        self._race = race
        self._data_centre = ''

    @property
    def is_started(self) -> bool:
        """Return whether this attempt has begun to answer the caller."""
        return self._race.is_won_by(self)

    def set_data_centre(self, data_centre: str) -> None:
        """See :class:`sink_module.AnswerSink`."""
        self._data_centre = data_centre

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """See :class:`sink_module.AnswerSink`."""
        sink = self._race.claim(self)
        sink.set_data_centre(self._data_centre)
        await sink.start(status, headers)

    async def write(self, data: bytes) -> None:
        """See :class:`sink_module.AnswerSink`."""
        await self._race.claim(self).write(data)

    async def finish(self) -> None:
        """See :class:`sink_module.AnswerSink`."""
        await self._race.claim(self).finish()


async def run(
    sink: sink_module.AnswerSink,
    first: Callable[[sink_module.AnswerSink], Awaitable[None]],
    second: Callable[[sink_module.AnswerSink], Awaitable[None]],
    delay_s: float,
    may_hedge: Callable[[], bool],
) -> None:
    """Run *first*; after *delay_s* without an answer also run *second*.

    Returns when one of them has answered whole. If the one that answered
    first fails, or both fail, its exception is raised.
    """
    race = Race(sink)
    lanes = [race.lane()]
    tasks = [asyncio.create_task(first(lanes[0]))]
    try:
        await _decided(race, tasks, delay_s)
        if not race.decided.is_set() and not tasks[0].done() and may_hedge():
            lanes.append(race.lane())
            tasks.append(asyncio.create_task(second(lanes[1])))
        await _finish(race, lanes, tasks)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _decided(
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


async def _finish(
    race: Race, lanes: list[Lane], tasks: list[asyncio.Task[None]]
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
            if race.is_won_by(lanes[tasks.index(task)]):
                raise failure
    if failure is not None:
        raise failure
