"""One attempt of a call at one target, resumed when connections fail."""

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
"""Bytes of one answer that may wait in the entry. 2,048 slow readers hold
32 MB; 256 KB each would exceed the memory of a node many times over."""

DISPATCH_TIMEOUT_S = 3.0
FRAME_TIMEOUT_S = 70.0
RESUME_RETRY_S = 0.1

RESUME_LIMIT_S = 30.0
"""An engine keeps a stream without a reader for about this long."""

MAX_HELD_BYTES = 64 * 1024
"""An answer up to this size that is not a stream is sent when it is whole,
so that a cut one can still be retried elsewhere."""


class AttemptRunner:
    """Dispatches attempts and relays their answers."""

    def __init__(
        self,
        peers: pool.PeerPool,
        answers: incoming.IncomingAnswers,
        view: load_view.LoadView,
    ) -> None:
        self._peers = peers
        self._answers = answers
        self._view = view

    async def run(
        self, attempt: Attempt, sink: sink_module.AnswerSink
    ) -> None:
        """Run one attempt to the end of its answer.

        :raises AttemptFailed: with the phase that was reached.
        """
        conn = self._peers.get(attempt.candidate.address)
        if conn is None:
            raise _failed(
                Phase.REFUSED, errors.ErrorKind.NO_TARGET, 'no peer', True
            )
        target = attempt.candidate.target
        sink.set_data_centre(attempt.candidate.data_centre)
        relay = _Relay(attempt, sink)
        self._view.started(target)
        try:
            with self._peers.hold(attempt.candidate.address):
                await self._run_held(conn, attempt, relay)
        except (asyncio.CancelledError, AttemptFailed) as exc:
            if getattr(exc, 'phase', None) is not Phase.REFUSED:
                attempt.call.execution.may_have_run = True
            if not getattr(exc, 'is_ended', False):
                self._cancel(attempt, relay)
            raise
        finally:
            self._view.finished(target)

    async def _run_held(
        self,
        conn: connection.PeerConnection,
        attempt: Attempt,
        relay: _Relay,
    ) -> None:
        with self._answers.expect(
            conn, attempt.call.call_id, attempt.number
        ) as queue:
            await self._dispatch(conn, attempt)
            is_whole = await relay.run(conn, queue)
        if not is_whole:
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
            self._view.record_report(conn.peer, reply.load, False)
        if not reply.accepted:
            kind = errors.kind_from_wire(reply.kind)
            raise _failed(
                _phase_of(kind), kind, reply.message or '', is_ended=True
            )

    async def _resume(self, attempt: Attempt, relay: _Relay) -> None:
        """Go on with the same stream over new connections.

        Only the engine stream that the caller already saw may go on; another
        generation would differ from it.
        """
        if attempt.claim is not None or not relay.can_resume:
            raise relay.failed('the connection to the agent ended')
        limit_s = time.monotonic() + min(
            RESUME_LIMIT_S, attempt.call.remaining_s()
        )
        for number in itertools.count(1):
            if time.monotonic() >= limit_s:
                raise relay.failed('the stream could not be resumed in time')
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
        relay: _Relay,
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
            logging.info('stream resumed at %d', relay.assembler.offset)
            metrics.resumed_streams.labels(call.service_name).inc()
            return await relay.run(conn, queue)

    def _cancel(self, attempt: Attempt, relay: _Relay) -> None:
        """Stop the call at the agent, which ignores this for claimed ones.

        Without a connection the agent gives the call up by itself.
        """
        conn = self._peers.get(attempt.candidate.address)
        if conn is not None:
            with contextlib.suppress(connection.ConnectionLost):
                conn.post(
                    ttypes.CancelCall(
                        attempt.call.call_id, relay.assembler.attempt
                    )
                )


class _Silence:
    """Queues IDLE_TIMEOUT when no frame came for FRAME_TIMEOUT_S."""

    def __init__(self, queue: asyncio.Queue) -> None:
        self._queue = queue
        self._loop = asyncio.get_running_loop()
        self._heard_s = self._loop.time()
        self._timer = self._loop.call_later(FRAME_TIMEOUT_S, self._check)

    def heard(self) -> None:
        """Note that a frame came."""
        self._heard_s = self._loop.time()

    def stop(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _check(self) -> None:
        left_s = self._heard_s + FRAME_TIMEOUT_S - self._loop.time()
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._check)
        else:
            self._queue.put_nowait(incoming.IDLE_TIMEOUT)


class _Relay:
    """Position in one answer while it goes from the agent to the caller."""

    def __init__(self, attempt: Attempt, sink: sink_module.AnswerSink) -> None:
        self._attempt = attempt
        self._sink = sink
        self._head: ttypes.ResponseHead | None = None
        self._credit_due = 0
        self._held = bytearray()
        self._is_sending = False
        self._is_stream = False
        self.assembler = assembler.StreamAssembler(attempt.number)

    @property
    def can_resume(self) -> bool:
        """Return whether the rest of the answer may come over another path.

        Only event streams are kept by an engine. A stream of which nothing
        has arrived is rather started elsewhere, as its agent may be gone.
        """
        return (
            self._attempt.call.service.kind == 'model'
            and self._is_stream
            and self.assembler.offset > 0
        )

    def failed(self, message: str) -> AttemptFailed:
        """Return the failure that fits how far the answer got."""
        if self._sink.is_started:
            return _failed(
                Phase.ANSWERING, errors.ErrorKind.ANSWER_INCOMPLETE, message
            )
        return _failed(Phase.SENT, errors.ErrorKind.OUTCOME_UNKNOWN, message)

    def restart(self, number: int) -> None:
        """Go on with another attempt, which starts with a full window."""
        self.assembler.restart(number)
        self._credit_due = 0

    async def run(
        self, conn: connection.PeerConnection, queue: asyncio.Queue
    ) -> bool:
        """Relay frames; return whether the answer is whole.

        False means that the connection ended or frames were lost and that the
        rest may be had by resuming.
        """
        # One time-out for the call and one timer for silence: setting a
        # time-out for each token cost a tenth of the whole relay.
        silence = _Silence(queue)
        try:
            async with asyncio.timeout(self._attempt.call.remaining_s()):
                while True:
                    frame = await queue.get()
                    silence.heard()
                    if frame is incoming.CONNECTION_CLOSED:
                        return False
                    if frame is incoming.IDLE_TIMEOUT:
                        raise self.failed('the target fell silent')
                    if await self._take(conn, frame):
                        return True
        except (assembler.StreamGap, connection.ConnectionLost):
            return False
        except TimeoutError:
            raise self._too_late() from None
        finally:
            silence.stop()

    async def _take(
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
            self._aborted(frame)
        elif not self.assembler.is_complete(frame):
            raise assembler.StreamGap('the end came before the last bytes')
        else:
            await self._send_held(conn)
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
        self._held += data
        self._credit_due += len(data)
        if self._is_stream or len(self._held) > MAX_HELD_BYTES:
            await self._send_held(conn)
        # One Window for many chunks: a message for each token would cost as
        # much as the token itself.
        if self._credit_due >= WINDOW_BYTES // 4:
            conn.post(
                ttypes.Window(
                    self._attempt.call.call_id,
                    self.assembler.attempt,
                    self._credit_due,
                )
            )
            self._credit_due = 0

    async def _send_held(self, conn: connection.PeerConnection) -> None:
        if self._head is None:
            raise assembler.StreamGap('the head of the answer is missing')
        if not self._sink.is_started:
            await self._sink.start(self._head.status, self._head.headers)
        if self._held:
            data, self._held = bytes(self._held), bytearray()
            self._is_sending = True
            await self._sink.write(data)
            self._is_sending = False

    def _too_late(self) -> AttemptFailed:
        if self._is_sending:
            return _failed(
                Phase.ANSWERING,
                errors.ErrorKind.DEADLINE_EXCEEDED,
                'the caller did not read the answer in time',
            )
        return self.failed('the answer did not end in time')

    def _aborted(self, frame: ttypes.Abort) -> None:
        kind = errors.kind_from_wire(frame.kind)
        if self._sink.is_started:
            raise _failed(Phase.ANSWERING, kind, frame.message, True)
        raise _failed(_phase_of(kind), kind, frame.message, True)


def _phase_of(kind: errors.ErrorKind) -> Phase:
    """Return REFUSED only for a kind that proves that the call did not run."""
    is_certain = errors.ANSWERS[kind].execution is errors.Execution.NOT_RUN
    return Phase.REFUSED if is_certain else Phase.SENT


def _failed(
    phase: Phase,
    kind: errors.ErrorKind,
    message: str,
    is_ended: bool = False,
) -> AttemptFailed:
    return AttemptFailed(phase, errors.Refusal(kind, message), is_ended)
