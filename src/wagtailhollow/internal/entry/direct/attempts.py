"""Sends one attempt of a call to a target and relays the HTTP response."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NoReturn

from .... import errors
from ...directory import model
from ...http1 import byte_budget, connection, pool
from ...observability import decisions
from ...platform import headers
from ..attempt import Attempt, AttemptFailed, Phase
from . import (
    answer_wait,
    ended_targets,
    events,
    prompt_holds,
    requests,
    routed_call,
    sink,
    targets,
)

BUFFERED_BYTES = 64 * 1024
"""Size up to which a response that is not a stream is buffered until it is
complete, so that another target can be tried; a longer one is relayed as it
arrives. With the most connections that an entry accepts this is 58 MB."""

ONCE_CONNECTION_MAX_IDLE_S = 1.0
"""Idle time after which a connection is not reused for a call that runs at
most once: the connection may be dead, and such a call cannot be sent again."""

CONNECTION_MAX_IDLE_S = 20.0

SCARCE_EVENT_BYTES = 8 * 1024
"""Size of an incomplete event from which its stream is given up while the
budget for the bytes of answers is exceeded."""

LOGGED_PARTS = 8
"""Parts of a prompt that the log line of a failed attempt names."""

_IS_LEAVING = b'1'


class HttpAttemptRunner:
    """Sends attempts to targets over HTTP and relays the responses.

    An interrupted stream is resumed at another target: on a resumable route
    that target can continue after the event that Last-Event-ID names.
    Through agents (:mod:`entry.attempts`) only the same engine stream can be
    resumed, over a new connection.
    """

    def __init__(
        self,
        connections: pool.ConnectionPool,
        view: targets.DirectTargets,
        holds: prompt_holds.PromptHolds,
        check: Callable[[routed_call.RoutedCall], None],
        budget: byte_budget.ByteBudget,
    ) -> None:
        """Create a runner.

        :param holds: learns which prompts are answered and which are suspects
            of the end of a target.
        :param check: raises Refusal if the call must not be sent now.
        :param budget: bounds the bytes of all answers together.
        """
        self._budget = budget
        self._connections = connections
        self._targets = view
        self._holds = holds
        self._check = check
        holds.listeners.append(self._take_back)
        self._exchanges: set[_Exchange] = set()
        self._ended = ended_targets.EndedTargets()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, attempt: Attempt, response_sink: sink.DirectSink
    ) -> None:
        """Run one attempt; see :class:`calls.Runner`."""
        record = self._targets.current(attempt.candidate.target)
        if record is None:
            _fail(
                Phase.REFUSED,
                errors.ErrorKind.NO_TARGET,
                'the target is not in service any more',
            )
        response_sink.set_data_centre(record.data_centre)
        exchange = _Exchange(
            attempt, record, response_sink, self._holds, self._budget
        )
        start_s = time.monotonic()
        self._targets.started(record)
        self._exchanges.add(exchange)
        result = 'failed'
        failure = {}
        try:
            await self._run(exchange)
            result = 'answered'
        except AttemptFailed as exc:
            result = exc.refusal.kind.value
            failure = {
                'reason': exc.refusal.message,
                'parts': attempt.call.prompt_parts[:LOGGED_PARTS],
            }
            if exc.phase is not Phase.REFUSED:
                attempt.call.execution.may_have_run = True
            if not exchange.is_taken_back:
                self._targets.failed(record, exc)
            await self._report_crash(exchange)
            raise
        except asyncio.CancelledError:
            result = 'cancelled'
            attempt.call.execution.may_have_run |= exchange.is_sent
            raise
        finally:
            self._exchanges.discard(exchange)
            self._targets.finished(record)
            decisions.log(
                'attempt',
                request_id=attempt.call.call_id,
                target=record.name,
                number=attempt.number,
                outstanding=attempt.candidate.outstanding,
                load=round(attempt.candidate.load, 2),
                result=result,
                status=exchange.head and exchange.head.status,
                is_leaving=exchange.is_leaving,
                events=exchange.position.events,
                waited_s=round(start_s - attempt.call.arrived_s, 3),
                head_s=exchange.head_s and round(exchange.head_s - start_s, 3),
                took_s=round(time.monotonic() - start_s, 3),
                **failure,
            )

    def _take_back(self, service: str, hold: prompt_holds.Hold) -> None:
        """End the calls with held parts that no target has answered yet.

        A call that runs at most once is left: its outcome would be unknown.
        """
        for exchange in self._exchanges:
            call = exchange.call
            if (
                call.service_name == service
                and hold.holds(call)
                and not call.must_not_repeat
            ):
                exchange.take_back()

    async def _report_crash(self, exchange: _Exchange) -> None:
        """Record a call as a suspect if its target has ended.

        A retry of a call that its target had begun waits for the verdict. A
        target that leaves ends by itself.
        """
        if not exchange.is_suspect or not self._targets.is_in_service(
            exchange.record
        ):
            return
        task = asyncio.create_task(self._judge(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if exchange.is_begun:
            await asyncio.shield(task)

    async def _judge(self, exchange: _Exchange) -> None:
        record = exchange.record
        if await self._ended.has_ended(record):
            self._holds.record_crash(
                record.service,
                exchange.call.prompt_parts,
                f'{record.name}/{record.started_ms}',
                exchange.is_begun,
            )

    async def _run(self, exchange: _Exchange) -> None:
        record = exchange.record
        call = exchange.call
        is_once = call.must_not_repeat
        try:
            conn = await self._connections.acquire(
                record.incarnation,
                record.address,
                ONCE_CONNECTION_MAX_IDLE_S
                if is_once
                else CONNECTION_MAX_IDLE_S,
            )
        except connection.ConnectFailed as exc:
            _fail(Phase.REFUSED, errors.ErrorKind.NO_TARGET, str(exc))
        try:
            # A change between these checks and the first byte goes unnoticed,
            # so there must not be a longer wait between them.
            current_record = self._targets.current(record.name)
            if (
                current_record is None
                or current_record.incarnation != record.incarnation
            ):
                _fail(
                    Phase.REFUSED,
                    errors.ErrorKind.NO_TARGET,
                    'the target was replaced, is leaving or wants no calls',
                )
            self._check(call)
            self._holds.admit(call)
            async with asyncio.timeout(call.remaining_s()):
                await exchange.run(conn, self._targets)
        except TimeoutError:
            exchange.fail(
                errors.ErrorKind.DEADLINE_EXCEEDED,
                'no complete answer before the deadline',
            )
        finally:
            # Closes the connection unless the response was read completely;
            # the target then stops working on the call.
            self._connections.release(record.incarnation, conn)


class _Exchange:
    """The HTTP request of one attempt and its response."""

    def __init__(
        self,
        attempt: Attempt,
        record: model.TargetRecord,
        response_sink: sink.DirectSink,
        holds: prompt_holds.PromptHolds,
        budget: byte_budget.ByteBudget,
    ) -> None:
        self._holds = holds
        self._budget = budget
        self._partial = byte_budget.Holder(budget)
        self._conn: connection.HttpConnection | None = None
        self._is_answered = False
        self._is_lost_by_peer = False
        self.is_taken_back = False
        self.call: routed_call.RoutedCall = attempt.call
        self._can_be_replaced = attempt.can_be_replaced
        self.record = record
        self.is_sent = False
        self.head: connection.Head | None = None
        self.head_s: float | None = None
        self._response_sink = response_sink
        self.position = response_sink.position

    @property
    def is_leaving(self) -> bool:
        """Return whether the target has answered that it is leaving."""
        return (
            self.head is not None
            and self.head.get(headers.LEAVING) == _IS_LEAVING
        )

    @property
    def is_begun(self) -> bool:
        """Return whether the target has begun to answer with a success."""
        return self.head is not None and self.head.status < 300

    @property
    def is_suspect(self) -> bool:
        """Return whether the call may have crashed its target.

        The target has closed the connection, and neither refused the call nor
        written any of its answer.
        """
        return bool(
            self.call.prompt_parts
            and self.is_sent
            and self._is_lost_by_peer
            and not self._is_answered
            and (self.is_begun or self.head is None)
        )

    def take_back(self) -> None:
        """End the request unless a part of its answer has arrived."""
        if self._conn is not None and not self._is_answered:
            self.is_taken_back = True
            self._conn.fail('parts of the prompt are held')

    def _record_answer(self) -> None:
        if self.is_begun and not self._is_answered:
            self._is_answered = True
            self._holds.record_answer(
                self.record.service, self.call.prompt_parts
            )

    async def run(
        self, conn: connection.HttpConnection, view: targets.DirectTargets
    ) -> None:
        """Send the request and relay the response."""
        self._conn = conn
        try:
            self.is_sent = True
            conn.start(
                requests.target_request(self.call, self.record, self.position)
            )
            wait = answer_wait.AnswerWait(
                conn, view, self.record, self.call.route, self._can_be_replaced
            )
            head = await (wait.head() if self._can_resume else conn.head())
            self.head = head
            self.head_s = time.monotonic()
            view.record_load_header(self.record, head.get(headers.LOAD))
            if self.is_leaving:
                view.mark_leaving(self.record)
            self._raise_if_refused(head, view)
            if self.call.is_stream and head.status == 200:
                await self._relay_stream(conn, head, wait)
            else:
                await self._relay_response(conn, head)
        except connection.ResponseLost as exc:
            self._is_lost_by_peer = conn.is_closed_by_peer
            if isinstance(exc, connection.ResponseUnusable):
                decisions.log(
                    'answer_unusable',
                    request_id=self.call.call_id,
                    target=self.record.name,
                    reason=str(exc),
                )
            if not exc.was_sent:
                self.is_sent = False
                _fail(Phase.REFUSED, errors.ErrorKind.NO_TARGET, str(exc))
            self.fail(errors.ErrorKind.ANSWER_INCOMPLETE, str(exc))
        finally:
            self._partial.hold(0)

    @property
    def _can_resume(self) -> bool:
        return self.call.is_stream and self.call.route.is_resumable

    def fail(self, kind: errors.ErrorKind, message: str) -> NoReturn:
        """Raise AttemptFailed after the request was sent.

        The phase is SENT if another attempt can still give the whole answer:
        nothing was sent to the caller, or the stream can be resumed.
        """
        can_continue = not self._response_sink.is_started or self._can_resume
        _fail(Phase.SENT if can_continue else Phase.ANSWERING, kind, message)

    def _raise_if_refused(
        self, head: connection.Head, view: targets.DirectTargets
    ) -> None:
        """Raise AttemptFailed if the target did not execute the call."""
        at_fault = head.get(headers.FAULTY_TARGET)
        retry_after_s = head.retry_after_s()
        if head.status == 503 and retry_after_s is not None:
            view.turned_away(self.record, retry_after_s)
        if head.status == 503 and at_fault not in (
            b'',
            self.record.name.encode(),
        ):
            view.pause_group(self.record)
        if head.status == 421:
            _fail(
                Phase.REFUSED,
                errors.ErrorKind.STALE_INCARNATION,
                'another target has taken over the address',
            )
        if head.get(headers.NOT_EXECUTED):
            _fail(
                Phase.REFUSED,
                errors.ErrorKind.TARGET_FULL,
                f'the target answered {head.status}: not executed',
            )

    async def _relay_response(
        self, conn: connection.HttpConnection, head: connection.Head
    ) -> None:
        body, is_whole = await conn.read_up_to(BUFFERED_BYTES)
        answer = sink.BufferedResponse(head.status, head.headers, body)
        if head.status >= 500 and not self.call.must_not_repeat:
            if is_whole:
                self._response_sink.fallback = answer
            self.fail(
                errors.ErrorKind.ENGINE_FAILED,
                f'the target answered {head.status}',
            )
        if head.status in errors.NOT_RUN_STATUSES and (
            self.call.must_not_repeat
        ):
            # Callers take this status to mean that the call never runs.
            self.fail(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f'the target answered {head.status} and may have run the call',
            )
        self._validate_success(head)
        if self._response_sink.is_started:
            self.fail(
                errors.ErrorKind.ANSWER_INCOMPLETE,
                f'the target answered {head.status} instead of resuming the '
                'stream',
            )
        self._record_answer()
        if is_whole:
            await self._response_sink.send_response(answer)
        else:
            await self._relay_long_response(conn, answer)

    async def _relay_long_response(
        self, conn: connection.HttpConnection, start: sink.BufferedResponse
    ) -> None:
        """Relay a response as it arrives; the end of a broken one is cut."""
        await self._response_sink.start(start.status, start.headers)
        await self._response_sink.write(start.body)
        while data := await conn.read():
            await self._response_sink.write(data)
        await self._response_sink.finish()

    async def _relay_stream(
        self,
        conn: connection.HttpConnection,
        head: connection.Head,
        wait: answer_wait.AnswerWait,
    ) -> None:
        self._validate_success(head)
        self.position.begin_attempt()
        rows = [row for row in head.headers if row[0] != b'content-length']
        event_s = time.monotonic()
        while True:
            data = await self._read_chunk(conn, wait, event_s)
            if not data and self.position.remainder().strip():
                raise connection.ResponseLost(
                    'the stream ended in the middle of an event'
                )
            if (
                not data
                and conn.ends_with_connection
                and not self._is_answered
            ):
                # What a target sends that crashes before the first event.
                raise connection.ResponseLost(
                    'the stream ended with its connection, without any event'
                )
            try:
                complete = (
                    self.position.feed(data, time.monotonic() - self.head_s)
                    if data
                    else self.position.remainder()
                )
            except events.UnusableStream as exc:
                raise connection.ResponseUnusable(str(exc)) from exc
            self._hold_partial_event()
            if (complete or not data) and not self._response_sink.is_started:
                await self._response_sink.start(head.status, rows)
            if complete:
                if events.has_field(complete):
                    event_s = time.monotonic()
                self._record_answer()
                await self._response_sink.write(complete)
            if not data:
                await self._response_sink.finish()
                return

    def _hold_partial_event(self) -> None:
        size = self.position.partial_bytes
        self._partial.hold(size)
        if size > SCARCE_EVENT_BYTES and self._budget.is_exceeded:
            raise connection.ResponseLost(
                f'an event of over {size} bytes, and memory is short'
            )

    async def _read_chunk(
        self,
        conn: connection.HttpConnection,
        wait: answer_wait.AnswerWait,
        event_s: float,
    ) -> bytes:
        """Return the next bytes; raise ResponseLost if the stream is idle.

        :param event_s: when the last event was relayed.
        """
        if not self._can_resume:
            return await conn.read()
        if not self._response_sink.is_started:
            return await wait.first_bytes(event_s)
        return await wait.next_bytes(event_s)

    def _validate_success(self, head: connection.Head) -> None:
        """Raise AttemptFailed if a success has no receipt or is encoded.

        The receipt is the engine's signature (header x-engine-signature).
        """
        if head.status >= 300:
            return
        if not head.get(headers.ENGINE_SIGNATURE) or head.get(
            b'content-encoding'
        ):
            self.fail(
                errors.ErrorKind.ANSWER_INCOMPLETE,
                'the answer has no receipt or has a content encoding',
            )


def _fail(phase: Phase, kind: errors.ErrorKind, message: str) -> NoReturn:
    raise AttemptFailed(phase, errors.Refusal(kind, message))
