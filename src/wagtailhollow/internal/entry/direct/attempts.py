"""One attempt of a call at one target, over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import NoReturn

from .... import errors
from ...directory import model
from ...http1 import connection, pool
from ...observability import decisions
from ...platform import headers
from ..attempt import Attempt, AttemptFailed, Phase
from . import events, routed_call, sink, targets

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Longest answer that is not a stream; held until it is whole."""

ONCE_MAX_IDLE_S = 1.0
"""Calls that run at most once avoid connections that may have gone silent:
such a call cannot be sent again."""

MAX_IDLE_S = 20.0

PRIORITY_RANKS = 4
"""Operators' priorities that are told apart: a target's queue knows 10, one
is for broken streams, and calls that are late have as many as others."""

STREAM_SILENCE_S = 1.2
"""Silence after which a stream is resumed elsewhere. The caller gives up
after 2 s; a pass of a group takes up to about 0.3 s."""

SILENCE_CHECK_S = 0.1
"""Period in which a target that keeps a stream waiting is looked at again; its
agent reports at least as often."""

_DROPPED = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
        b'content-length',
        headers.KEY,
        headers.ORGANISATION,
        headers.DEADLINE,
        headers.EXPECTED_TARGET,
        headers.PRIORITY,
        headers.LAST_EVENT_ID,
    }
)
"""Headers of one connection only, and those that the entry sets itself."""


def forwarded(rows: connection.Headers) -> connection.Headers:
    """Return the headers of a caller that go on to the target."""
    named = {
        part.strip().lower()
        for name, value in rows
        if name == b'connection'
        for part in value.split(b',')
    }
    return tuple(
        row for row in rows if row[0] not in _DROPPED and row[0] not in named
    )


class HttpAttemptRunner:
    """Sends attempts to targets and passes their answers on."""

    def __init__(
        self,
        connections: pool.ConnectionPool,
        view: targets.DirectTargets,
        check: Callable[[routed_call.RoutedCall], None],
    ) -> None:
        """Create a runner.

        :param check: raises Refusal if the call must not be handed over now.
        """
        self._connections = connections
        self._view = view
        self._check = check

    async def run(self, attempt: Attempt, answer: sink.DirectSink) -> None:
        """Run one attempt to the end of its answer; see calls.Runner."""
        record = self._view.current(attempt.candidate.target)
        if record is None:
            _fail(Phase.REFUSED, errors.ErrorKind.NO_TARGET, 'target is gone')
        answer.set_data_centre(record.data_centre)
        exchange = _Exchange(attempt, record, answer)
        began_s = time.monotonic()
        self._view.started(record)
        result = 'failed'
        try:
            await self._run(exchange)
            result = 'answered'
        except AttemptFailed as exc:
            result = exc.refusal.kind.value
            if exc.phase is not Phase.REFUSED:
                attempt.call.execution.may_have_run = True
            self._view.failed(record, exc)
            raise
        except asyncio.CancelledError:
            result = 'cancelled'
            attempt.call.execution.may_have_run = exchange.is_sent
            raise
        finally:
            self._view.finished(record)
            decisions.log(
                'attempt',
                request_id=attempt.call.call_id,
                target=record.name,
                number=attempt.number,
                outstanding=attempt.candidate.outstanding,
                load=round(attempt.candidate.load, 2),
                result=result,
                events=exchange.position.events,
                waited_s=round(began_s - attempt.call.arrived_s, 3),
                head_s=exchange.head_s and round(exchange.head_s - began_s, 3),
                took_s=round(time.monotonic() - began_s, 3),
            )

    async def _run(self, exchange: _Exchange) -> None:
        record = exchange.record
        call = exchange.call
        is_once = call.must_not_repeat
        try:
            conn = await self._connections.acquire(
                record.incarnation,
                record.address,
                ONCE_MAX_IDLE_S if is_once else MAX_IDLE_S,
            )
        except connection.ConnectFailed as exc:
            _fail(Phase.REFUSED, errors.ErrorKind.NO_TARGET, str(exc))
        try:
            # Nothing may come between the checks and the first byte.
            found = self._view.current(record.name)
            if found is None or found.incarnation != record.incarnation:
                _fail(Phase.REFUSED, errors.ErrorKind.NO_TARGET, 'target left')
            self._check(call)
            async with asyncio.timeout(call.remaining_s()):
                await exchange.run(conn, self._view)
        except TimeoutError:
            exchange.fail(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                'no whole answer before the deadline',
            )
        finally:
            # Closes it unless the answer was read to its end, which also
            # ends the work at the target.
            self._connections.release(record.incarnation, conn)


class _Exchange:
    """The request of one attempt and its answer."""

    def __init__(
        self,
        attempt: Attempt,
        record: model.TargetRecord,
        answer: sink.DirectSink,
    ) -> None:
        self.call: routed_call.RoutedCall = attempt.call
        self.record = record
        self.is_sent = False
        self.head_s: float | None = None
        self._sink = answer
        self.position = answer.position

    async def run(
        self, conn: connection.HttpConnection, view: targets.DirectTargets
    ) -> None:
        """Send the request and pass the answer on."""
        try:
            self.is_sent = True
            head = await self._head(conn, view)
            self.head_s = time.monotonic()
            view.record_load_header(self.record, head.get(headers.LOAD))
            self._refused(head, view)
            if self.call.is_stream and head.status == 200:
                await self._stream(conn, head)
            else:
                await self._whole(conn, head)
        except connection.AnswerLost as exc:
            if not exc.was_sent:
                self.is_sent = False
                _fail(Phase.REFUSED, errors.ErrorKind.NO_TARGET, str(exc))
            self.fail(errors.ErrorKind.ANSWER_INCOMPLETE, str(exc))

    async def _head(
        self, conn: connection.HttpConnection, view: targets.DirectTargets
    ) -> connection.Head:
        """Send the request and return the head of the answer.

        The host of a target whose reports ended too may be frozen; a stream
        that can resume does not wait until its caller leaves.
        """
        sending = asyncio.ensure_future(conn.send(self._request()))
        try:
            if self.call.is_stream and self.call.route.is_resumable:
                await asyncio.wait({sending}, timeout=STREAM_SILENCE_S)
                while not sending.done() and not view.is_report_overdue(
                    self.record
                ):
                    await asyncio.wait({sending}, timeout=SILENCE_CHECK_S)
                if not sending.done():
                    raise connection.AnswerLost('silent with its agent')
            return await sending
        finally:
            if not sending.done():
                sending.cancel()
                await asyncio.gather(sending, return_exceptions=True)

    def fail(self, kind: errors.ErrorKind, message: str) -> NoReturn:
        """Raise AttemptFailed with the phase that was reached."""
        can_go_on = not self._sink.is_started or (
            self.call.is_stream and self.call.route.is_resumable
        )
        _fail(Phase.SENT if can_go_on else Phase.ANSWERING, kind, message)

    def _request(self) -> connection.Request:
        call = self.call
        rows = list(call.sent_headers)
        if call.body or call.method in ('POST', 'PUT', 'PATCH'):
            rows.append((b'content-length', str(len(call.body)).encode()))
        left_ms = max(1, int(call.remaining_s() * 1000))
        rows.append((headers.DEADLINE, str(left_ms).encode()))
        rows.append((headers.EXPECTED_TARGET, self.record.name.encode()))
        rows.append((headers.PRIORITY, _priority(call, self.position)))
        if call.organisation:
            rows.append((headers.ORGANISATION, call.organisation.encode()))
        if self.position.last_id:
            rows.append((headers.LAST_EVENT_ID, self.position.last_id))
        return connection.Request(
            connection.request_head(call.method, call.target_path, rows),
            call.body,
            call.call_id.encode('latin-1'),
        )

    def _refused(
        self, head: connection.Head, view: targets.DirectTargets
    ) -> None:
        """Raise if the target says that it did not execute the call."""
        at_fault = head.get(headers.AT_FAULT)
        if head.status == 503 and at_fault not in (
            b'',
            self.record.name.encode(),
        ):
            view.pause_group(self.record)
        if head.status == 421:
            _fail(
                Phase.REFUSED,
                errors.ErrorKind.STALE_INCARNATION,
                'another target has the address',
            )
        if head.get(headers.NOT_EXECUTED):
            _fail(
                Phase.REFUSED,
                errors.ErrorKind.TARGET_FULL,
                f'the target answered {head.status}, not executed',
            )

    async def _whole(
        self, conn: connection.HttpConnection, head: connection.Head
    ) -> None:
        body = await conn.read_all(MAX_BODY_BYTES)
        answer = sink.BufferedResponse(head.status, head.headers, body)
        if head.status >= 500 and not self.call.must_not_repeat:
            self._sink.fallback = answer
            self.fail(
                errors.ErrorKind.ENGINE_FAILED,
                f'the target answered {head.status}',
            )
        if head.status in errors.NOT_RUN_STATUSES and (
            self.call.must_not_repeat
        ):
            # Passed on, it would say that the call never runs.
            self.fail(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f'the target answered {head.status} and may have run the call',
            )
        self._check_success(head)
        await self._sink.whole(answer)

    async def _stream(
        self, conn: connection.HttpConnection, head: connection.Head
    ) -> None:
        self._check_success(head)
        self.position.discard_partial()
        rows = [row for row in head.headers if row[0] != b'content-length']
        while True:
            data = await self._next(conn)
            if not data and self.position.remainder().strip():
                raise connection.AnswerLost('the stream ended in an event')
            whole = (
                self.position.feed(data) if data else self.position.remainder()
            )
            if (whole or not data) and not self._sink.is_started:
                await self._sink.start(head.status, rows)
            if whole:
                await self._sink.write(whole)
            if not data:
                await self._sink.finish()
                return

    async def _next(self, conn: connection.HttpConnection) -> bytes:
        """Return the next bytes; gives up a silent stream that can resume."""
        can_resume = self.call.route.is_resumable and self._sink.is_started
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                STREAM_SILENCE_S if can_resume else None
            ):
                return await conn.read()
        raise connection.AnswerLost(f'silent for {STREAM_SILENCE_S} s')

    def _check_success(self, head: connection.Head) -> None:
        """Raise if a success is not the answer of an engine."""
        if head.status >= 300:
            return
        if not head.get(headers.RECEIPT) or head.get(b'content-encoding'):
            self.fail(
                errors.ErrorKind.ANSWER_INCOMPLETE,
                'the answer has no receipt or an encoding',
            )


def _priority(
    call: routed_call.RoutedCall, position: events.EventPosition
) -> bytes:
    """Return the order in which a target's queue is served, 0 is first.

    A stream that broke off has a caller who waits for its next event. Calls
    that are late already do not delay those that can still be in time.
    """
    if position.events:
        return b'0'
    rank = min(max(call.priority, 0), PRIORITY_RANKS - 1)
    return b'%d' % (1 + rank + PRIORITY_RANKS * call.is_late)


def _fail(phase: Phase, kind: errors.ErrorKind, message: str) -> NoReturn:
    raise AttemptFailed(phase, errors.Refusal(kind, message))
