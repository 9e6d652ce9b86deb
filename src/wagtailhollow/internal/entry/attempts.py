"""One attempt of a call at one target, resumed when connections fail."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import enum
import itertools

from absl import logging

from ... import errors
from ..observability import metrics
from ..routing import load_view, policy
from ..streams import assembler, incoming
from ..wire import connection, pool
from ..wire.gen import ttypes
from . import call as call_module

WINDOW_BYTES = 256 * 1024
DISPATCH_TIMEOUT_S = 3.0
FRAME_TIMEOUT_S = 70.0
RESUME_RETRY_S = 0.1


class Phase(enum.Enum):
    """How far a failed attempt got, which decides what may follow."""

    REFUSED = 'refused'
    SENT = 'sent'
    ANSWERING = 'answering'


class AttemptFailed(Exception):
    """An attempt ended without the whole answer."""

    def __init__(self, phase: Phase, refusal: errors.Refusal) -> None:
        super().__init__(str(refusal))
        self.phase = phase
        self.refusal = refusal


@dataclasses.dataclass(frozen=True)
class Attempt:
    """What one attempt needs to know.

    :ivar number: differs for each attempt and each resumption of a call.
    """

    call: call_module.Call
    candidate: policy.Candidate
    incarnation: int
    table_version: int
    number: int
    claim: ttypes.ClaimTicket | None = None


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
        self, attempt: Attempt, sink: call_module.AnswerSink
    ) -> None:
        """Run one attempt to the end of its answer.

        :raises AttemptFailed: with the phase that was reached.
        """
        conn = self._peers.get(attempt.candidate.address)
        if conn is None:
            raise _failed(Phase.REFUSED, errors.ErrorKind.NO_TARGET, 'no peer')
        target = attempt.candidate.target
        sink.served_by(attempt.candidate.data_centre)
        self._view.started(target)
        try:
            with self._answers.expect(
                conn, attempt.call.call_id, attempt.number
            ) as queue:
                await self._dispatch(conn, attempt)
                relay = _Relay(attempt, sink)
                is_whole = await relay.run(conn, queue)
            if not is_whole:
                await self._resume(attempt, relay)
        except asyncio.CancelledError:
            self._cancel(attempt)
            raise
        finally:
            self._view.finished(target)

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
            raise AttemptFailed(Phase.REFUSED, exc) from exc
        result = reply.kind or 'accepted'
        metrics.attempts.labels(call.service_name, result).inc()
        if reply.load is not None:
            self._view.take(conn.peer, reply.load, False)
        if not reply.accepted:
            raise _failed(
                Phase.REFUSED,
                errors.kind_from_wire(reply.kind),
                reply.message or '',
            )

    async def _resume(self, attempt: Attempt, relay: _Relay) -> None:
        """Go on with the same stream over new connections.

        Only the engine stream that the caller already saw may go on; another
        generation would differ from it.
        """
        if attempt.claim is not None or attempt.call.service.kind != 'model':
            raise relay.failed('the connection to the agent ended')
        for number in itertools.count(1):
            if attempt.call.remaining_s() <= 0:
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
        relay.assembler.restart(number)
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

    def _cancel(self, attempt: Attempt) -> None:
        conn = self._peers.get(attempt.candidate.address)
        if conn is not None:
            with contextlib.suppress(connection.ConnectionLost):
                conn.post(
                    ttypes.CancelCall(attempt.call.call_id, attempt.number)
                )


class _Relay:
    """Position in one answer while it goes from the agent to the caller."""

    def __init__(self, attempt: Attempt, sink: call_module.AnswerSink) -> None:
        self._attempt = attempt
        self._sink = sink
        self._head: ttypes.ResponseHead | None = None
        self._credit_due = 0
        self.assembler = assembler.StreamAssembler(attempt.number)

    def failed(self, message: str) -> AttemptFailed:
        """Return the failure that fits how far the answer got."""
        if self._sink.is_started:
            return _failed(
                Phase.ANSWERING, errors.ErrorKind.ANSWER_INCOMPLETE, message
            )
        return _failed(Phase.SENT, errors.ErrorKind.OUTCOME_UNKNOWN, message)

    async def run(
        self, conn: connection.PeerConnection, queue: asyncio.Queue
    ) -> bool:
        """Relay frames; return whether the answer is whole.

        False means that the connection ended or frames were lost and that the
        rest may be had by resuming.
        """
        while True:
            try:
                async with asyncio.timeout(FRAME_TIMEOUT_S):
                    frame = await queue.get()
                if frame is incoming.LOST:
                    return False
                if await self._take(conn, frame):
                    return True
            except (assembler.StreamGap, connection.ConnectionLost):
                return False
            except TimeoutError:
                raise self.failed('the target fell silent') from None

    async def _take(
        self, conn: connection.PeerConnection, frame: incoming.AnswerFrame
    ) -> bool:
        if isinstance(frame, ttypes.Chunk):
            await self._write(conn, self.assembler.accept(frame))
        elif isinstance(frame, ttypes.ResponseHead):
            self._head = self._head or frame
        elif isinstance(frame, ttypes.Abort):
            self._aborted(frame)
        elif not self.assembler.is_complete(frame):
            raise assembler.StreamGap('the end came before the last bytes')
        else:
            await self._write(conn, b'')
            await self._sink.finish()
            return True
        return False

    async def _write(
        self, conn: connection.PeerConnection, data: bytes
    ) -> None:
        if not self._sink.is_started:
            head = self._head
            if head is None:
                raise assembler.StreamGap('the head of the answer is missing')
            await self._sink.start(head.status, head.headers)
        if not data:
            return
        await self._sink.write(data)
        self._credit_due += len(data)
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

    def _aborted(self, frame: ttypes.Abort) -> None:
        kind = errors.kind_from_wire(frame.kind)
        if self._sink.is_started:
            raise _failed(Phase.ANSWERING, kind, frame.message)
        is_certain = errors.ANSWERS[kind].execution is errors.Execution.NOT_RUN
        phase = Phase.REFUSED if is_certain else Phase.SENT
        raise _failed(phase, kind, frame.message)


def _failed(
    phase: Phase, kind: errors.ErrorKind, message: str
) -> AttemptFailed:
    return AttemptFailed(phase, errors.Refusal(kind, message))
