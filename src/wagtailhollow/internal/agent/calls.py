"""Executes calls on the target and streams the answers to the entries."""

from __future__ import annotations

import asyncio
import collections
import time
from collections.abc import Callable

from absl import logging

from ... import errors
from ..wire import connection
from ..wire.gen import ttypes
from . import admission as admission_module
from . import ledger as ledger_module
from . import ramp as ramp_module
from . import running_call
from . import watcher as watcher_module
from .backends import registry

RESUME_GRACE_S = 10.0
"""How long a stream can be resumed after the entry's connection closed."""

MAX_REMEMBERED_CANCELS = 4096

MAX_ENGINE_RECONNECTS = 3
"""A stream fails after its connection to the engine broke this many times."""


class CallServer:
    """Handles dispatch, resume, flow-control and cancellation messages."""

    def __init__(
        self,
        target: str,
        incarnation: int,
        backend: registry.Backend,
        admission: admission_module.AdmissionController,
        ramp: ramp_module.Ramp,
        watcher: watcher_module.TargetWatcher,
        ledger: ledger_module.Ledger,
        catch_up: Callable,
        load: Callable[[], ttypes.TargetLoad],
        handlers: connection.Handlers,
    ) -> None:
        """Create the server and register its handlers.

        :param catch_up: coroutine ``(conn, table_version)`` that returns once
            this agent's table has at least that version.
        :param load: returns the load to include in a refusal.
        """
        self._target = target
        self._incarnation = incarnation
        self._backend = backend
        self._admission = admission
        self._ramp = ramp
        self._watcher = watcher
        self._ledger = ledger
        self._catch_up = catch_up
        self._load = load
        self._running: dict[str, running_call.RunningCall] = {}
        self._ended: dict[str, _EndedStream] = {}
        self._cancelled: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        handlers.on_request(ttypes.Dispatch)(self._dispatch)
        handlers.on_request(ttypes.Resume)(self._resume)
        handlers.on_request(ttypes.CancelIfNotStarted)(self._cancel_claim)
        handlers.on_one_way(ttypes.CancelCall)(self._cancel)
        handlers.on_one_way(ttypes.Window)(self._window)
        handlers.close_callbacks.append(self._connection_closed)

    @property
    def running(self) -> int:
        """Return the number of calls in progress."""
        return len(self._running)

    @property
    def unfinished(self) -> int:
        """Return the number of calls that a planned stop has to wait for.

        These are the running calls and the streams that were sent to the end
        but whose last bytes the entry may still request by a Resume.
        """
        self.expire()
        return len(self._running) + len(self._ended)

    def expire(self) -> None:
        """Drop ended streams that were received or were not resumed."""
        now_s = time.monotonic()
        self._ended = {
            call_id: ended
            for call_id, ended in self._ended.items()
            if not ended.is_received() and now_s < ended.expires_s
        }

    async def _dispatch(
        self, conn: connection.PeerConnection, message: ttypes.Dispatch
    ) -> ttypes.DispatchReply:
        try:
            _check_role(conn)
            await self._catch_up(conn, message.table_version)
            await self._watcher.wait_for_start()
            slot = self._admit(conn, message)
        except errors.Refusal as exc:
            return ttypes.DispatchReply(
                False, exc.kind.value, exc.message, self._load()
            )
        call = running_call.RunningCall(conn, message, slot, self._ramp.epoch)
        self._running[message.call_id] = call
        call.task = asyncio.create_task(self._run(call, message))
        return ttypes.DispatchReply(True)

    def _admit(
        self, conn: connection.PeerConnection, message: ttypes.Dispatch
    ) -> int:
        """Check and count the call without an await in between.

        An await would let other calls start between the check and the count.
        """
        if (
            message.target != self._target
            or message.incarnation != self._incarnation
        ):
            raise errors.Refusal(
                errors.ErrorKind.STALE_INCARNATION,
                'the dispatch names another target or an earlier start of '
                'this agent',
            )
        if message.call_id in self._running:
            raise errors.Refusal(
                errors.ErrorKind.STALE_ORDER, 'the call is already running'
            )
        # Only the cancelled and earlier attempts are refused: an entry that
        # cancels an attempt because its reply was lost may choose the same
        # target again, as there are few others.
        cancelled = self._cancelled.get(message.call_id, 0)
        if message.attempt <= cancelled or not conn.is_open:
            raise errors.Refusal(
                errors.ErrorKind.STALE_ORDER, 'the call was cancelled'
            )
        self._admission.check()
        if message.claim is not None:
            self._ledger.start(message.claim)
        self._watcher.count_start()
        return self._admission.admit()

    async def _run(
        self, call: running_call.RunningCall, message: ttypes.Dispatch
    ) -> None:
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
            call.begin()
            async with asyncio.timeout(message.deadline_in_ms / 1000):
                head = await self._backend.start(request)
                record = None if message.claim is None else recorded.extend
                await self._relay(call, head, 0, record)
            is_answered = True
        except registry.BackendError as exc:
            self._handle_backend_error(call, message, exc)
        except TimeoutError:
            call.abort(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                'the deadline of the call passed',
            )
        except asyncio.CancelledError:
            call.abort(
                errors.ErrorKind.DEADLINE_EXCEEDED, 'the call was cancelled'
            )
        except Exception:
            logging.exception('call %s failed', message.call_id)
            call.abort(
                errors.ErrorKind.INTERNAL,
                'the agent failed with an internal error',
            )
        finally:
            if message.claim is not None and not call.was_not_run:
                self._record(message.claim, head, recorded, is_answered)
            if is_answered and head.status < 400:
                self._ramp.completed(self._admission.running, call.epoch)
            await self._finish(call, is_answered)

    def _record(
        self,
        claim: ttypes.ClaimTicket,
        head: registry.BackendAnswer | None,
        recorded: bytearray,
        is_answered: bool,
    ) -> None:
        outcome = (
            ledger_module.Outcome(head.status, head.headers, bytes(recorded))
            if head is not None and is_answered
            else None
        )
        self._ledger.finish(claim, outcome)

    async def _relay(
        self,
        call: running_call.RunningCall,
        answer: registry.BackendAnswer,
        offset: int,
        record: Callable[[bytes], None] | None,
    ) -> None:
        """Relay *answer* until it ends.

        If the connection to the engine breaks, the stream is resumed over a
        new connection at the byte where it stopped. It is not generated
        again, since a second generation would give a different answer.
        """
        call.send_head(answer)
        call.offset = offset
        for _ in range(MAX_ENGINE_RECONNECTS):
            start = call.offset
            try:
                await call.send_body(answer, record)
                break
            except registry.BackendError:
                if not answer.is_stream or not self._backend.can_resume:
                    raise
                answer = await self._backend.resume(call.call_id, call.offset)
                if call.offset == start:
                    await asyncio.sleep(0)
        else:
            raise registry.BackendError(
                'the connection to the engine broke '
                f'{MAX_ENGINE_RECONNECTS} times during the stream',
                started=True,
            )
        call.send_end()

    def _handle_backend_error(
        self,
        call: running_call.RunningCall,
        message: ttypes.Dispatch,
        exc: registry.BackendError,
    ) -> None:
        self._ramp.failed()
        logging.warning('target failed call %s: %s', message.call_id, exc)
        if exc.started:
            call.abort(errors.ErrorKind.ENGINE_FAILED, str(exc))
            return
        if message.claim is not None:
            self._ledger.mark_not_run(message.claim)
        call.abort(errors.ErrorKind.NO_TARGET, str(exc))

    async def _finish(
        self, call: running_call.RunningCall, is_answered: bool
    ) -> None:
        """Cancel an unfinished call at the target and release its slot."""
        may_still_run = False
        try:
            if not (is_answered or call.is_detached or call.was_not_run):
                may_still_run = True
                may_still_run = not await self._backend.cancel(call.call_id)
        finally:
            if self._running.get(call.call_id) is call:
                del self._running[call.call_id]
            if call.slot is not None:
                self._admission.release(call.slot, may_still_run)
            if is_answered and call.is_stream:
                self._ended[call.call_id] = _EndedStream(call.conn)

    async def _resume(
        self, conn: connection.PeerConnection, message: ttypes.Resume
    ) -> ttypes.DispatchReply:
        _check_role(conn)
        if message.target != self._target or not self._backend.can_resume:
            raise errors.Refusal(
                errors.ErrorKind.BAD_REQUEST,
                'the stream belongs to another target, or this target cannot '
                'resume streams',
            )
        old = self._running.get(message.call_id)
        if old is not None and (
            old.is_claimed or old.attempt >= message.attempt
        ):
            raise errors.Refusal(
                errors.ErrorKind.STALE_ORDER,
                'a later attempt took over the stream, or the call is claimed',
            )
        call = running_call.RunningCall(conn, message, None, self._ramp.epoch)
        # Registered before the first await, so that of two concurrent
        # resumptions the later one takes the stream over from the earlier.
        self._running[message.call_id] = call
        if old is not None:
            call.slot, old.slot = old.slot, None
            await old.detach()
        self._ended.pop(message.call_id, None)
        if self._running.get(message.call_id) is not call or not conn.is_open:
            self._drop_resumption(call)
            raise errors.Refusal(
                errors.ErrorKind.STALE_ORDER,
                'a later attempt took over the stream, or the connection is '
                'closed',
            )
        if call.slot is None:
            call.slot = self._admission.admit()
        call.task = asyncio.create_task(self._run_resumed(call, message))
        return ttypes.DispatchReply(True)

    def _drop_resumption(self, call: running_call.RunningCall) -> None:
        """Remove a resumption that has not started to relay."""
        if self._running.get(call.call_id) is call:
            del self._running[call.call_id]
        if call.slot is not None:
            self._admission.release(call.slot, may_still_run=True)

    async def _run_resumed(
        self, call: running_call.RunningCall, message: ttypes.Resume
    ) -> None:
        is_answered = False
        try:
            call.begin()
            async with asyncio.timeout(message.deadline_in_ms / 1000):
                head = await self._backend.resume(
                    message.call_id, message.offset
                )
                await self._relay(call, head, message.offset, None)
            is_answered = True
        except registry.BackendError as exc:
            call.abort(errors.ErrorKind.ENGINE_FAILED, str(exc))
        except (TimeoutError, asyncio.CancelledError):
            call.abort(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                'the resumed call was cancelled or its deadline passed',
            )
        except Exception:
            logging.exception('resumed call %s failed', message.call_id)
            call.abort(
                errors.ErrorKind.INTERNAL,
                'the agent failed with an internal error',
            )
        finally:
            await self._finish(call, is_answered)

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
        if call is None:
            # The call may be unknown because its dispatch still waits for the
            # table or for a load report.
            self._cancelled[message.call_id] = message.attempt
            while len(self._cancelled) > MAX_REMEMBERED_CANCELS:
                self._cancelled.popitem(last=False)
        elif not call.is_claimed and call.attempt <= message.attempt:
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
            if call.conn is not conn:
                continue
            call.connection_closed()
            if not call.is_claimed:
                loop.call_later(RESUME_GRACE_S, self._cancel_unresumed, call)

    def _cancel_unresumed(self, call: running_call.RunningCall) -> None:
        if self._running.get(call.call_id) is call:
            call.cancel()


class _EndedStream:
    """A stream sent to its end that the entry may not have received yet."""

    def __init__(self, conn: connection.PeerConnection) -> None:
        self._conn = conn
        self._ended_at_ms = time.monotonic_ns() // 1_000_000
        self.expires_s = time.monotonic() + RESUME_GRACE_S

    def is_received(self) -> bool:
        """Return whether the entry has received the whole stream.

        It has if it echoed a heartbeat that was sent after the stream ended.
        """
        return self._conn.echoed_ms > self._ended_at_ms


def _check_role(conn: connection.PeerConnection) -> None:
    if conn.peer.role != ttypes.Role.ENTRY:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            f'{conn.peer.node} is not an entry; only entries may send calls',
        )
