"""Acceptor of map-switch rounds for one rank.

The agent keeps the promised ballot in memory for one incarnation and rejects
lower ballots and fencing tokens itself, so an engine that ignores fencing
tokens is protected as well. Commands are sent to the engine one at a time.
Each runs to completion even if its requester has timed out: otherwise the
next round could read a state that the pending command is about to change.

A command can outlive its agent if the agent is killed while the command is in
flight. The engine's own preconditions cover that case. It activates a map only
while held, and the release names the epoch, so a late activation arrives
either before the release, which is then refused, or after it and is refused
itself.
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


def _runs_to_completion(
    command: Callable[..., Coroutine[Any, Any, ttypes.RankState]],
) -> Callable[..., Coroutine[Any, Any, ttypes.RankState]]:
    """Keep a command running when the task that awaits it is cancelled."""

    @functools.wraps(command)
    async def run(self: RankAcceptor, message: codec.Message):
        task = asyncio.create_task(command(self, message))
        self._running.add(task)
        task.add_done_callback(self._on_done)
        return await asyncio.shield(task)

    return run


class RankAcceptor:
    """Promised ballot and engine commands of one rank and incarnation."""

    def __init__(
        self,
        group: str,
        rank: int,
        incarnation: int,
        engine_control: engine.EngineControl,
    ) -> None:
        self.group = group
        self.rank = rank
        self.incarnation = incarnation
        self.promised = ballots.NO_BALLOT
        self._fencing = 0
        self._engine = engine_control
        self._lock = asyncio.Lock()
        self._running: set[asyncio.Task[ttypes.RankState]] = set()
        self._last_command_s = time.monotonic()

    def idle_s(self) -> float:
        """Return the time since a command of a round was last accepted."""
        return time.monotonic() - self._last_command_s

    async def state(self) -> ttypes.RankState:
        """Return the state of the rank without changing it.

        The state is read from the engine, not derived from the promise: a
        restarted agent has lost the promise while its engine may still be
        held.

        :raises EngineCommandError: the engine does not answer.
        """
        return self._rank_state(await self._engine.map_state(), False, None)

    async def stage(self, message: ttypes.StageMap) -> ttypes.RankState:
        """Start staging a map; the reply reports the newest staged epoch."""
        async with self._lock:
            if message.fencing < self._fencing:
                return await self._refuse(errors.ErrorKind.STALE_ORDER)
            self._fencing = message.fencing
            try:
                state = await self._engine.map_state()
                if message.epoch not in (*state.staged, state.epoch):
                    await self._engine.stage_map(
                        message.epoch, message.placement, message.fencing
                    )
                    state = await self._engine.map_state()
            except engine.EngineCommandError as exc:
                raise _engine_failure(exc) from exc
            return self._rank_state(state, True, None)

    @_runs_to_completion
    async def hold(self, message: ttypes.HoldRank) -> ttypes.RankState:
        """Promise the ballot and pause the engine at a step boundary."""
        async with self._lock:
            # A duplicate of the promised ballot is refused as well: its round
            # may have ended already, and no one would release the rank.
            is_superseded = ballots.sort_key(
                message.ballot
            ) <= ballots.sort_key(self.promised)
            if is_superseded or message.ballot.fencing < self._fencing:
                return await self._refuse(errors.ErrorKind.STALE_ORDER)
            try:
                state = await self._engine.map_state()
                if message.epoch > state.newest_staged:
                    return self._rank_state(
                        state, False, errors.ErrorKind.NOT_READY
                    )
                self.promised = message.ballot
                self._fencing = message.ballot.fencing
                self._last_command_s = time.monotonic()
                state = await self._engine.hold(self._fencing)
            except engine.EngineCommandError as exc:
                raise _engine_failure(exc) from exc
            return self._rank_state(state, state.held, None)

    @_runs_to_completion
    async def activate(self, message: ttypes.ActivateMap) -> ttypes.RankState:
        """Activate the staged map if the ballot is the promised one."""
        async with self._lock:
            if refused := await self._refuse_if_stale(message):
                return refused
            try:
                state = await self._engine.activate(
                    message.epoch, self._fencing
                )
            except engine.EngineCommandError as exc:
                raise _engine_failure(exc) from exc
            is_active = state.held and state.epoch == message.epoch
            return self._rank_state(state, is_active, None)

    @_runs_to_completion
    async def release(self, message: ttypes.ReleaseRank) -> ttypes.RankState:
        """Resume the engine if the ballot is the promised one."""
        async with self._lock:
            if refused := await self._refuse_if_stale(message):
                return refused
            try:
                state = await self._engine.map_state()
                if state.epoch != message.epoch:
                    return self._rank_state(
                        state, False, errors.ErrorKind.STALE_ORDER
                    )
                if state.held:
                    state = await self._engine.release(
                        message.epoch, self._fencing
                    )
            except engine.EngineCommandError as exc:
                raise _engine_failure(exc) from exc
            return self._rank_state(state, not state.held, None)

    def _on_done(self, task: asyncio.Task[ttypes.RankState]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (exc := task.exception()):
            # The requester may have timed out, so nothing else reports it.
            logging.info('command to rank %d failed: %s', self.rank, exc)

    async def _refuse_if_stale(
        self, message: ttypes.ActivateMap | ttypes.ReleaseRank
    ) -> ttypes.RankState | None:
        if message.incarnation != self.incarnation:
            return await self._refuse(errors.ErrorKind.STALE_INCARNATION)
        if message.ballot != self.promised:
            return await self._refuse(errors.ErrorKind.STALE_ORDER)
        self._last_command_s = time.monotonic()
        return None

    async def _refuse(self, kind: errors.ErrorKind) -> ttypes.RankState:
        logging.warning(
            'refused command to rank %d of %s: %s',
            self.rank,
            self.group,
            kind.value,
        )
        try:
            state = await self._engine.map_state()
        except engine.EngineCommandError as exc:
            raise _engine_failure(exc) from exc
        return self._rank_state(state, False, kind)

    def _rank_state(
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


def _engine_failure(exc: engine.EngineCommandError) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.ENGINE_FAILED, str(exc))
