"""Ballots of one rank: what its agent lets through to the engine.

The agent keeps the promise in memory for one incarnation and refuses lower
ballots and fencing numbers itself, so an engine that ignores the numbers is
protected too. Orders to the engine are sent one at a time, and each is waited
for to its end, also when the one who asked for it has given up: until then the
next round must not learn a state that the order is about to change.

An order can outlive its agent: it is on its way when the agent is killed.
The engine's own conditions cover that case. It activates only while held, and
its release names the epoch, so a late activation either comes before the
release, which is then refused, or after it, and is refused itself.
"""

from __future__ import annotations

import asyncio
import functools
import time
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

from ... import errors
from ..wire import codec
from ..wire.gen import ttypes
from . import ballot as ballots
from . import engine


def _to_its_end(
    order: Callable[..., Coroutine[Any, Any, ttypes.RankState]],
) -> Callable[..., Coroutine[Any, Any, ttypes.RankState]]:
    """Let an order go on if the one who waits for it is cancelled."""

    @functools.wraps(order)
    async def run(self: RankAcceptor, message: codec.Message):
        task = asyncio.create_task(order(self, message))
        self._running.add(task)
        task.add_done_callback(self._ended)
        return await asyncio.shield(task)

    return run


class RankAcceptor:
    """Promise and orders of one rank in one incarnation."""

    def __init__(
        self,
        group: str,
        rank: int,
        incarnation: int,
        orders: engine.EngineControl,
    ) -> None:
        self.group = group
        self.rank = rank
        self.incarnation = incarnation
        self.promised = ballots.NO_BALLOT
        self._fencing = 0
        self._orders = orders
        self._lock = asyncio.Lock()
        self._running: set[asyncio.Task[ttypes.RankState]] = set()
        self._heard_s = time.monotonic()

    def idle_s(self) -> float:
        """Return the time since an order of a round was last accepted."""
        return time.monotonic() - self._heard_s

    async def state(self) -> ttypes.RankState:
        """Return the state of the rank without an order.

        The engine is asked rather than the promise: a restarted agent has
        lost the promise while its engine may still be held.

        :raises EngineCommandError: the engine does not answer.
        """
        return self._report(await self._orders.map_state(), False, None)

    async def stage(self, message: ttypes.StageMap) -> ttypes.RankState:
        """Begin to stage a map; the reply tells what is staged by now."""
        async with self._lock:
            if message.fencing < self._fencing:
                return await self._refuse(errors.ErrorKind.STALE_ORDER)
            self._fencing = message.fencing
            try:
                state = await self._orders.map_state()
                if message.epoch not in (*state.staged, state.epoch):
                    await self._orders.stage_map(
                        message.epoch, message.placement, message.fencing
                    )
                    state = await self._orders.map_state()
            except engine.EngineCommandError as exc:
                raise _failed(exc) from exc
            return self._report(state, True, None)

    @_to_its_end
    async def hold(self, message: ttypes.HoldRank) -> ttypes.RankState:
        """Promise the ballot and stop the engine at a step boundary."""
        async with self._lock:
            # A second delivery of the same ballot is refused as well: the
            # round may have ended, and nobody would release the rank.
            is_old = ballots.order(message.ballot) <= ballots.order(
                self.promised
            )
            if is_old or message.ballot.fencing < self._fencing:
                return await self._refuse(errors.ErrorKind.STALE_ORDER)
            try:
                state = await self._orders.map_state()
                if message.epoch > state.newest_staged:
                    return self._report(
                        state, False, errors.ErrorKind.NOT_READY
                    )
                self.promised = message.ballot
                self._fencing = message.ballot.fencing
                self._heard_s = time.monotonic()
                state = await self._orders.hold(self._fencing)
            except engine.EngineCommandError as exc:
                raise _failed(exc) from exc
            return self._report(state, state.held, None)

    @_to_its_end
    async def activate(self, message: ttypes.ActivateMap) -> ttypes.RankState:
        """Put the staged map into effect if the ballot is the promised one."""
        async with self._lock:
            if refused := await self._check(message):
                return refused
            try:
                state = await self._orders.activate(
                    message.epoch, self._fencing
                )
            except engine.EngineCommandError as exc:
                raise _failed(exc) from exc
            is_active = state.held and state.epoch == message.epoch
            return self._report(state, is_active, None)

    @_to_its_end
    async def release(self, message: ttypes.ReleaseRank) -> ttypes.RankState:
        """Let the engine go on if the ballot is the promised one."""
        async with self._lock:
            if refused := await self._check(message):
                return refused
            try:
                state = await self._orders.map_state()
                if state.epoch != message.epoch:
                    return self._report(
                        state, False, errors.ErrorKind.STALE_ORDER
                    )
                if state.held:
                    state = await self._orders.release(
                        message.epoch, self._fencing
                    )
            except engine.EngineCommandError as exc:
                raise _failed(exc) from exc
            return self._report(state, not state.held, None)

    def _ended(self, task: asyncio.Task[ttypes.RankState]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (exc := task.exception()):
            # The one who asked for it may no longer wait.
            logging.info('order for rank %d: %s', self.rank, exc)

    async def _check(
        self, message: ttypes.ActivateMap | ttypes.ReleaseRank
    ) -> ttypes.RankState | None:
        if message.incarnation != self.incarnation:
            return await self._refuse(errors.ErrorKind.STALE_INCARNATION)
        if message.ballot != self.promised:
            return await self._refuse(errors.ErrorKind.STALE_ORDER)
        self._heard_s = time.monotonic()
        return None

    async def _refuse(self, kind: errors.ErrorKind) -> ttypes.RankState:
        logging.warning(
            'order for rank %d of %s refused: %s',
            self.rank,
            self.group,
            kind.value,
        )
        try:
            state = await self._orders.map_state()
        except engine.EngineCommandError as exc:
            raise _failed(exc) from exc
        return self._report(state, False, kind)

    def _report(
        self,
        state: engine.EngineMapState,
        accepted: bool,
        kind: errors.ErrorKind | None,
    ) -> ttypes.RankState:
        return ttypes.RankState(
            group=self.group,
            rank=self.rank,
            incarnation=self.incarnation,
            epoch=state.epoch,
            staged_epoch=state.newest_staged,
            step=state.step,
            held=state.held,
            promised=(
                self.promised
                if self.promised != ballots.NO_BALLOT
                else ttypes.Ballot(state.fencing, 0, '')
            ),
            accepted=accepted,
            kind=kind.value if kind is not None else None,
        )


def _failed(exc: engine.EngineCommandError) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.ENGINE_FAILED, str(exc))
