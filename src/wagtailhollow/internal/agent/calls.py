"""Runs calls at the target and streams the answers to the entries."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from absl import logging

from ... import errors
from ..wire import connection
from ..wire.gen import ttypes
from . import gate as gate_module
from . import ledger as ledger_module
from . import ramp as ramp_module
from .backends import registry

RESUME_GRACE_S = 10.0
"""How long a stream is kept for an entry whose connection ended."""


class CallServer:
    """Serves Dispatch, Resume, Window and the cancellations."""

    def __init__(
        self,
        target: str,
        incarnation: int,
        backend: registry.Backend,
        gate: gate_module.Gate,
        ramp: ramp_module.Ramp,
        ledger: ledger_module.Ledger,
        catch_up: Callable,
        load: Callable[[], ttypes.TargetLoad],
        handlers: connection.Handlers,
    ) -> None:
        """Create the server and register its handlers.

        :param catch_up: coroutine ``(conn, table_version)`` that returns once
            the table is at least at that version.
        :param load: returns the load to attach to a refusal.
        """
        self._target = target
        self._incarnation = incarnation
        self._backend = backend
        self._gate = gate
        self._ramp = ramp
        self._ledger = ledger
        self._catch_up = catch_up
        self._load = load
        self._running: dict[str, RunningCall] = {}
        handlers.on_request(ttypes.Dispatch)(self._dispatch)
        handlers.on_request(ttypes.Resume)(self._resume)
        handlers.on_request(ttypes.CancelIfNotStarted)(self._cancel_claim)
        handlers.on_notice(ttypes.CancelCall)(self._cancel)
        handlers.on_notice(ttypes.Window)(self._window)
        handlers.closed.append(self._connection_closed)

    @property
    def running(self) -> int:
        """Return the number of calls in progress."""
        return len(self._running)

    async def _dispatch(
        self, conn: connection.PeerConnection, message: ttypes.Dispatch
    ) -> ttypes.DispatchReply:
        try:
            await self._catch_up(conn, message.table_version)
            self._admit(message)
        except errors.Refusal as exc:
            return ttypes.DispatchReply(
                False, exc.kind.value, exc.message, self._load()
            )
        call = RunningCall(conn, message, self._backend)
        self._running[message.call_id] = call
        call.task = asyncio.create_task(self._run(call, message))
        return ttypes.DispatchReply(True)

    def _admit(self, message: ttypes.Dispatch) -> None:
        """Check and count the call in one step, without a suspension."""
        if (
            message.target != self._target
            or message.incarnation != self._incarnation
        ):
            raise errors.Refusal(
                errors.ErrorKind.STALE_INCARNATION,
                'the dispatch is for an earlier agent or another target',
            )
        if message.call_id in self._running:
            raise errors.Refusal(
                errors.ErrorKind.STALE_ORDER, 'the call is running already'
            )
        self._gate.check()
        if message.claim is not None:
            self._ledger.start(message.claim)
        self._gate.enter()

    async def _run(self, call: RunningCall, message: ttypes.Dispatch) -> None:
        request = registry.BackendCall(
            message.call_id,
            message.method,
            message.path,
            message.headers,
            message.body,
            message.priority,
        )
        recorded = bytearray()
        head: registry.BackendAnswer | None = None
        is_answered = False
        try:
            async with asyncio.timeout(message.deadline_in_ms / 1000):
                head = await self._backend.start(request)
                record = None if message.claim is None else recorded.extend
                await call.relay(head, 0, record)
            is_answered = True
        except registry.BackendFailed as exc:
            self._backend_failed(call, message, exc)
        except TimeoutError:
            call.abort(errors.ErrorKind.DEADLINE_EXCEEDED, 'deadline passed')
        except asyncio.CancelledError:
            call.abort(errors.ErrorKind.DEADLINE_EXCEEDED, 'cancelled')
        except Exception:
            logging.exception('call %s failed', message.call_id)
            call.abort(errors.ErrorKind.INTERNAL, 'the agent failed')
        finally:
            await self._finish(call, message, head, recorded, is_answered)

    def _backend_failed(
        self,
        call: RunningCall,
        message: ttypes.Dispatch,
        exc: registry.BackendFailed,
    ) -> None:
        self._ramp.failed()
        logging.warning('target failed call %s: %s', message.call_id, exc)
        if exc.started:
            call.abort(errors.ErrorKind.ENGINE_FAILED, str(exc))
            return
        if message.claim is not None:
            self._ledger.withdraw(message.claim)
        call.abort(errors.ErrorKind.NO_TARGET, str(exc))

    async def _finish(
        self,
        call: RunningCall,
        message: ttypes.Dispatch,
        head: registry.BackendAnswer | None,
        recorded: bytearray,
        is_answered: bool,
    ) -> None:
        if self._running.get(message.call_id) is call:
            del self._running[message.call_id]
        if is_answered:
            self._ramp.completed(self._gate.running)
        self._gate.leave()
        if message.claim is not None and not call.never_reached_target:
            outcome = (
                ledger_module.Outcome(
                    head.status, head.headers, bytes(recorded)
                )
                if head is not None and is_answered
                else None
            )
            self._ledger.finish(message.claim, outcome)
        if not is_answered and not call.is_detached:
            await self._backend.cancel(message.call_id)

    async def _resume(
        self, conn: connection.PeerConnection, message: ttypes.Resume
    ) -> ttypes.DispatchReply:
        if message.target != self._target or not self._backend.can_resume:
            raise errors.Refusal(
                errors.ErrorKind.BAD_REQUEST, 'the stream is not here'
            )
        old = self._running.get(message.call_id)
        if old is not None:
            await old.detach()
        call = RunningCall(conn, message, self._backend)
        self._running[message.call_id] = call
        self._gate.enter()
        call.task = asyncio.create_task(self._run_resumed(call, message))
        return ttypes.DispatchReply(True)

    async def _run_resumed(
        self, call: RunningCall, message: ttypes.Resume
    ) -> None:
        is_answered = False
        try:
            async with asyncio.timeout(message.deadline_in_ms / 1000):
                head = await self._backend.resume(
                    message.call_id, message.offset
                )
                await call.relay(head, message.offset, None)
            is_answered = True
        except registry.BackendFailed as exc:
            call.abort(errors.ErrorKind.ENGINE_FAILED, str(exc))
        except (TimeoutError, asyncio.CancelledError):
            call.abort(errors.ErrorKind.DEADLINE_EXCEEDED, 'cancelled')
        finally:
            if self._running.get(message.call_id) is call:
                del self._running[message.call_id]
            self._gate.leave()
            if not is_answered and not call.is_detached:
                await self._backend.cancel(message.call_id)

    async def _cancel_claim(
        self,
        conn: connection.PeerConnection,
        message: ttypes.CancelIfNotStarted,
    ) -> ttypes.CallOutcome:
        if (
            message.target != self._target
            or message.incarnation != self._incarnation
        ):
            return ttypes.CallOutcome(ttypes.OutcomeState.UNKNOWN)
        return self._ledger.cancel_if_not_started(message.claim)

    def _cancel(
        self, conn: connection.PeerConnection, message: ttypes.CancelCall
    ) -> None:
        call = self._running.get(message.call_id)
        if call is not None and not call.is_claimed:
            call.cancel()

    def _window(
        self, conn: connection.PeerConnection, message: ttypes.Window
    ) -> None:
        call = self._running.get(message.call_id)
        if call is not None and call.attempt == message.attempt:
            call.add_credit(message.bytes)

    def _connection_closed(self, conn: connection.PeerConnection) -> None:
        loop = asyncio.get_running_loop()
        for call in list(self._running.values()):
            if call.conn is conn and not call.is_claimed:
                loop.call_later(RESUME_GRACE_S, self._give_up, call)

    def _give_up(self, call: RunningCall) -> None:
        if self._running.get(call.call_id) is call:
            call.cancel()


class RunningCall:
    """One call in progress and the flow control of its answer."""

    def __init__(
        self,
        conn: connection.PeerConnection,
        message: ttypes.Dispatch | ttypes.Resume,
        backend: registry.Backend,
    ) -> None:
        self.conn = conn
        self.call_id = message.call_id
        self.attempt = message.attempt
        self.is_claimed = getattr(message, 'claim', None) is not None
        self.never_reached_target = False
        self.task: asyncio.Task[None] | None = None
        self._credit = message.window_bytes
        self._credit_added = asyncio.Event()
        self.is_detached = False

    async def relay(
        self,
        answer: registry.BackendAnswer,
        offset: int,
        record: Callable[[bytes], None] | None,
    ) -> None:
        """Send head, body and end of *answer*, as credit allows.

        :param offset: position of the first byte that *answer* yields.
        :param record: called with each piece of the body, if given; then
            the whole body is read even if the entry is gone.
        """
        self._post(
            ttypes.ResponseHead(
                self.call_id,
                self.attempt,
                answer.status,
                dict(answer.headers),
            )
        )
        async for data in answer.chunks:
            if record is not None:
                record(data)
            await self._send(data, offset)
            offset += len(data)
        self._post(ttypes.End(self.call_id, self.attempt, offset))

    async def _send(self, data: bytes, offset: int) -> None:
        while self._credit <= 0 and not self._may_skip():
            self._credit_added.clear()
            await self._credit_added.wait()
        self._credit -= len(data)
        self._post(ttypes.Chunk(self.call_id, self.attempt, offset, data))

    def _may_skip(self) -> bool:
        """Return whether the answer is read on for the record only."""
        return self.is_claimed and not self.conn.is_open

    def _post(self, message) -> None:
        with contextlib.suppress(connection.ConnectionLost):
            self.conn.post(message)

    def add_credit(self, count: int) -> None:
        """Allow *count* more bytes to be sent."""
        self._credit += count
        self._credit_added.set()

    def abort(self, kind: errors.ErrorKind, message: str) -> None:
        """Tell the entry that the answer ends here."""
        if kind is errors.ErrorKind.NO_TARGET:
            self.never_reached_target = True
        if not self.is_detached:
            self._post(
                ttypes.Abort(self.call_id, self.attempt, kind.value, message)
            )

    def cancel(self) -> None:
        """Stop the call."""
        if self.task is not None:
            self.task.cancel()

    async def detach(self) -> None:
        """Stop relaying without an Abort; a newer attempt takes over."""
        self.is_detached = True
        self.cancel()
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)
