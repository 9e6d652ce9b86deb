"""Runs attempts of calls through agents; resumes interrupted streams."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time

from absl import logging

from ... import errors
from ..observability import metrics
from ..routing import load_view
from ..streams import assembler, incoming
from ..streams import sink as sink_module
from ..wire import connection, pool
from ..wire.gen import ttypes
from .attempt import Attempt, AttemptFailed, Phase

WINDOW_BYTES = 16 * 1024
"""Flow-control window: unread bytes of one answer buffered in the entry.

With 2,048 slow readers this is 32 MB; 256 KB each would exceed the memory of a
node many times over.
"""

DISPATCH_TIMEOUT_S = 3.0
FRAME_TIMEOUT_S = 70.0
RESUME_RETRY_S = 0.1

RESUME_LIMIT_S = 30.0
"""About as long as an engine keeps a stream that nobody reads. An agent that
noticed the loss of the connection ends the stream sooner, after 10 s."""

MAX_BUFFERED_BYTES = 64 * 1024
"""Size up to which an answer that is not a stream is buffered until complete.

A truncated answer can then still be retried at another target.
"""


class AttemptRunner:
    """Dispatches attempts to agents and relays the answers."""

    def __init__(
        self,
        peers: pool.PeerPool,
        answers: incoming.IncomingAnswers,
        view: load_view.LoadView,
    ) -> None:
        self._peers = peers
        self._answers = answers
        self._load_view = view

    async def run(
        self, attempt: Attempt, sink: sink_module.AnswerSink
    ) -> None:
        """Run one attempt and relay its complete answer.

        :raises AttemptFailed: with the phase in which it failed.
        """
        conn = self._peers.get(attempt.candidate.address)
        if conn is None:
            raise _failed(
                Phase.REFUSED,
                errors.ErrorKind.NO_TARGET,
                'no connection to the agent',
                True,
            )
        target = attempt.candidate.target
        sink.set_data_centre(attempt.candidate.data_centre)
        relay = _AnswerRelay(attempt, sink)
        self._load_view.started(target)
        try:
            with self._peers.hold(attempt.candidate.address):
                await self._dispatch_and_relay(conn, attempt, relay)
        except (asyncio.CancelledError, AttemptFailed) as exc:
            if getattr(exc, 'phase', None) is not Phase.REFUSED:
                attempt.call.execution.may_have_run = True
            if not getattr(exc, 'is_ended', False):
                self._cancel(attempt, relay)
            raise
        finally:
            self._load_view.finished(target)

    async def _dispatch_and_relay(
        self,
        conn: connection.PeerConnection,
        attempt: Attempt,
        relay: _AnswerRelay,
    ) -> None:
        with self._answers.expect(
            conn, attempt.call.call_id, attempt.number
        ) as queue:
            await self._dispatch(conn, attempt)
            is_complete = await relay.run(conn, queue)
        if not is_complete:
            await self._resume(attempt, relay)

    async def _dispatch(
        self, conn: connection.PeerConnection, attempt: Attempt
    ) -> None:
        call = attempt.call
        message = ttypes.Dispatch(
            call_id=call.call_id,
            attempt=attempt.number,
            target=attempt.candidate.target,
            incarnation=attempt.incarnation,
            deadline_in_ms=max(1, int(call.remaining_s() * 1000)),
            table_version=attempt.table_version,
            organisation=call.organisation,
            service_name=call.service_name,
            method=call.method,
            path=call.path,
            headers=dict(call.headers),
            body=call.body,
            priority=call.service.priority,
            window_bytes=WINDOW_BYTES,
            claim=attempt.claim,
        )
        try:
            reply = await conn.request(message, DISPATCH_TIMEOUT_S)
        except (connection.ConnectionLost, TimeoutError) as exc:
            raise _failed(
                Phase.SENT, errors.ErrorKind.OUTCOME_UNKNOWN, repr(exc)
            ) from exc
        except errors.Refusal as exc:
            raise AttemptFailed(_phase_of(exc.kind), exc, True) from exc
        result = reply.kind or 'accepted'
        metrics.attempts.labels(call.service_name, result).inc()
        if reply.load is not None:
            self._load_view.record_report(conn.peer, reply.load, False)
        if not reply.accepted:
            kind = errors.kind_from_wire(reply.kind)
            raise _failed(
                _phase_of(kind), kind, reply.message or '', is_ended=True
            )

    async def _resume(self, attempt: Attempt, relay: _AnswerRelay) -> None:
        """Resume the same engine stream over new connections.

        The part already sent to the caller cannot be continued by another
        execution, whose generated text would differ.
        """
        if attempt.claim is not None or not relay.can_resume:
            raise relay.failed('the connection to the agent was lost')
        limit_s = time.monotonic() + min(
            RESUME_LIMIT_S, attempt.call.remaining_s()
        )
        for number in itertools.count(1):
            if time.monotonic() >= limit_s:
                raise relay.failed(
                    'the stream could not be resumed within the time limit'
                )
            conn = self._peers.get(attempt.candidate.address)
            if conn is not None and await self._resume_once(
                conn, attempt, relay, attempt.number + 1000 * number
            ):
                return
            await asyncio.sleep(RESUME_RETRY_S)

    async def _resume_once(
        self,
        conn: connection.PeerConnection,
        attempt: Attempt,
        relay: _AnswerRelay,
        number: int,
    ) -> bool:
        call = attempt.call
        relay.restart(number)
        message = ttypes.Resume(
            call_id=call.call_id,
            attempt=number,
            target=attempt.candidate.target,
            offset=relay.assembler.offset,
            window_bytes=WINDOW_BYTES,
            deadline_in_ms=max(1, int(call.remaining_s() * 1000)),
            organisation=call.organisation,
            service_name=call.service_name,
        )
        with self._answers.expect(conn, call.call_id, number) as queue:
            try:
                await conn.request(message, DISPATCH_TIMEOUT_S)
            except (connection.ConnectionLost, TimeoutError):
                return False
            except errors.Refusal as exc:
                raise relay.failed(exc.message) from exc
            logging.info('stream resumed at byte %d', relay.assembler.offset)
            metrics.resumed_streams.labels(call.service_name).inc()
            return await relay.run(conn, queue)

    def _cancel(self, attempt: Attempt, relay: _AnswerRelay) -> None:
        """Cancel the call at the agent, which ignores this for claimed calls.

        If the connection is lost, the agent ends the call by itself.
        """
        conn = self._peers.get(attempt.candidate.address)
        if conn is not None:
            with contextlib.suppress(connection.ConnectionLost):
                conn.send_nowait(
                    ttypes.CancelCall(
                        attempt.call.call_id, relay.assembler.attempt
                    )
                )


class _IdleTimer:
    """Queues IDLE_TIMEOUT if no frame arrives for FRAME_TIMEOUT_S."""

    def __init__(self, queue: asyncio.Queue) -> None:
        self._queue = queue
        self._loop = asyncio.get_running_loop()
        self._last_frame_s = self._loop.time()
        self._timer = self._loop.call_later(FRAME_TIMEOUT_S, self._check)

    def heard(self) -> None:
        """Restart the time-out after a frame."""
        self._last_frame_s = self._loop.time()

    def stop(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _check(self) -> None:
        left_s = self._last_frame_s + FRAME_TIMEOUT_S - self._loop.time()
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._check)
        else:
            self._queue.put_nowait(incoming.IDLE_TIMEOUT)


class _AnswerRelay:
    """Relays the answer of one attempt and tracks its progress."""

    def __init__(self, attempt: Attempt, sink: sink_module.AnswerSink) -> None:
        self._attempt = attempt
        self._sink = sink
        self._head: ttypes.ResponseHead | None = None
        self._pending_credit = 0
        self._buffer = bytearray()
        self._is_sending = False
        self._is_stream = False
        self.assembler = assembler.StreamAssembler(attempt.number)

    @property
    def can_resume(self) -> bool:
        """Return whether the answer can be resumed on another connection.

        Engines keep only event streams for resumption. A stream of which no
        byte has arrived is retried at another target instead, since its agent
        may have failed.
        """
        return (
            self._attempt.call.service.kind == 'model'
            and self._is_stream
            and self.assembler.offset > 0
        )

    def failed(self, message: str) -> AttemptFailed:
        """Return a failure: ANSWERING if the answer has started, else SENT."""
        if self._sink.is_started:
            return _failed(
                Phase.ANSWERING, errors.ErrorKind.ANSWER_INCOMPLETE, message
            )
        return _failed(Phase.SENT, errors.ErrorKind.OUTCOME_UNKNOWN, message)

    def restart(self, number: int) -> None:
        """Prepare for a resumption, which starts with a full window."""
        self.assembler.restart(number)
        self._pending_credit = 0

    async def run(
        self, conn: connection.PeerConnection, queue: asyncio.Queue
    ) -> bool:
        """Relay frames; return whether the answer is complete.

        False means that the connection or frames were lost; the rest of the
        answer may be obtained by resuming it.
        """
        # One time-out for the call and one idle timer: a time-out set for each
        # token cost a tenth of the time of the whole relay.
        idle_timer = _IdleTimer(queue)
        try:
            async with asyncio.timeout(self._attempt.call.remaining_s()):
                while True:
                    frame = await queue.get()
                    idle_timer.heard()
                    if frame is incoming.CONNECTION_CLOSED:
                        return False
                    if frame is incoming.IDLE_TIMEOUT:
                        raise self.failed(
                            'the target was silent beyond the time limit'
                        )
                    if await self._handle_frame(conn, frame):
                        return True
        except (assembler.StreamGap, connection.ConnectionLost):
            return False
        except TimeoutError:
            raise self._deadline_failure() from None
        finally:
            idle_timer.stop()

    async def _handle_frame(
        self, conn: connection.PeerConnection, frame: incoming.AnswerFrame
    ) -> bool:
        if isinstance(frame, ttypes.Chunk):
            await self._write(conn, self.assembler.accept(frame))
        elif frame.attempt != self.assembler.attempt:
            return False
        elif isinstance(frame, ttypes.ResponseHead):
            self._head = self._head or frame
            content_type = self._head.headers.get('content-type', '')
            self._is_stream = 'event-stream' in content_type
        elif isinstance(frame, ttypes.Abort):
            self._raise_abort(frame)
        elif not self.assembler.is_complete(frame):
            raise assembler.StreamGap(
                'the end frame arrived before the last bytes'
            )
        else:
            await self._flush_buffer(conn)
            await self._sink.finish()
            return True
        return False

    async def _write(
        self, conn: connection.PeerConnection, data: bytes
    ) -> None:
        if self._head is None:
            raise assembler.StreamGap('the head of the answer is missing')
        if not data:
            return
        self._buffer += data
        self._pending_credit += len(data)
        if self._is_stream or len(self._buffer) > MAX_BUFFERED_BYTES:
            await self._flush_buffer(conn)
        # Window updates are batched: one for each token would cost as much as
        # the token itself.
        if self._pending_credit >= WINDOW_BYTES // 4:
            conn.send_nowait(
                ttypes.Window(
                    self._attempt.call.call_id,
                    self.assembler.attempt,
                    self._pending_credit,
                )
            )
            self._pending_credit = 0

    async def _flush_buffer(self, conn: connection.PeerConnection) -> None:
        if self._head is None:
            raise assembler.StreamGap('the head of the answer is missing')
        if not self._sink.is_started:
            await self._sink.start(self._head.status, self._head.headers)
        if self._buffer:
            data, self._buffer = bytes(self._buffer), bytearray()
            self._is_sending = True
            await self._sink.write(data)
            self._is_sending = False

    def _deadline_failure(self) -> AttemptFailed:
        if self._is_sending:
            return _failed(
                Phase.ANSWERING,
                errors.ErrorKind.DEADLINE_EXCEEDED,
                'the caller did not read the answer in time',
            )
        return self.failed('the answer did not end in time')

    def _raise_abort(self, frame: ttypes.Abort) -> None:
        kind = errors.kind_from_wire(frame.kind)
        if self._sink.is_started:
            raise _failed(Phase.ANSWERING, kind, frame.message, True)
        raise _failed(_phase_of(kind), kind, frame.message, True)


def _phase_of(kind: errors.ErrorKind) -> Phase:
    """Return REFUSED for a kind that proves that the call did not run."""
    is_not_run = errors.ANSWERS[kind].execution is errors.Execution.NOT_RUN
    return Phase.REFUSED if is_not_run else Phase.SENT


def _failed(
    phase: Phase,
    kind: errors.ErrorKind,
    message: str,
    is_ended: bool = False,
) -> AttemptFailed:
    return AttemptFailed(phase, errors.Refusal(kind, message), is_ended)
