"""Sends the response of a target, or a refusal, to the caller."""

from __future__ import annotations

import dataclasses
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from .... import errors
from ...http1 import connection
from ...observability import decisions, metrics
from .. import call as call_module
from . import events

Send = Callable[[Mapping[str, Any]], Awaitable[None]]

_REQUEST_ID = b'x-request-id'
_OUTCOME_UNKNOWN_STATUS = 502
_HOP_BY_HOP = frozenset(
    {b'connection', b'keep-alive', b'transfer-encoding', b'upgrade'}
)


class AnswerCut(ConnectionAbortedError, decisions.AlreadyLogged):
    """An answer has begun and cannot be completed; its connection ends."""


@dataclasses.dataclass(frozen=True)
class BufferedResponse:
    """A complete response, buffered in memory."""

    status: int
    headers: connection.Headers
    body: bytes


class DirectSink:
    """Sends the response to one call over ASGI.

    :ivar fallback: a target's 5xx response, sent if no other attempt succeeds.
    :ivar position: position in the stream up to which events were sent.
    """

    def __init__(
        self,
        send: Send,
        request_id: bytes,
        last_event_id: bytes,
        is_closing: Callable[[], bool],
    ) -> None:
        """Create a sink.

        :param is_closing: returns whether to close the connection after the
            response.
        """
        self._send = send
        self._request_id = request_id
        self._is_closing = is_closing
        self._data_centre = ''
        self._response_start_s: float | None = None
        self.is_started = False
        self.is_finished = False
        self.status = 0
        self.target = ''
        self.position = events.EventPosition(last_event_id)
        self.fallback: BufferedResponse | None = None

    def set_data_centre(self, data_centre: str) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        self._data_centre = data_centre

    async def start(self, status: int, headers: connection.Headers) -> None:
        """See :class:`streams.sink.AnswerSink`.

        :param headers: pairs of bytes.
        """
        rows = [item for item in headers if item[0] not in _HOP_BY_HOP]
        if not any(name == _REQUEST_ID for name, _ in rows):
            rows.append((_REQUEST_ID, self._request_id))
        if self._is_closing():
            rows.append((b'connection', b'close'))
        self.is_started = True
        self.status = status
        self._response_start_s = time.monotonic()
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': rows,
            }
        )

    async def write(self, data: bytes) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        self.is_finished = True
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )

    async def send_response(self, answer: BufferedResponse) -> None:
        """Send a complete response."""
        await self.start(
            answer.status,
            [item for item in answer.headers if item[0] != b'content-length']
            + [(b'content-length', str(len(answer.body)).encode())],
        )
        self.is_finished = True
        await self._send(
            {
                'type': 'http.response.body',
                'body': answer.body,
                'more_body': False,
            }
        )

    async def refuse(
        self, exc: errors.Refusal, record: call_module.ExecutionRecord | None
    ) -> None:
        """Send an error response, or the fallback if there is one.

        :param record: what is known of the execution of the call, if any.
        :raises AnswerCut: the response has already started, so the connection
            has to be cut.
        """
        if self.is_finished:
            return
        if self.is_started:
            raise AnswerCut(exc.message)
        if self.fallback is not None:
            await self.send_response(self.fallback)
            return
        answer = exc.answer
        if record is not None and record.may_have_run:
            answer = answer.uncertain()
            if answer.status in errors.NOT_RUN_STATUSES:
                answer = dataclasses.replace(
                    answer, status=_OUTCOME_UNKNOWN_STATUS
                )
        document = {
            'error': {
                'kind': exc.kind.value,
                'message': exc.message,
                'execution': answer.execution.value,
                'retry': answer.retry.value,
                'request_id': self._request_id.decode('latin-1'),
            }
        }
        headers = [(b'content-type', b'application/json')]
        if (
            answer.status in errors.NOT_RUN_STATUSES
            and exc.retry_after_s is not None
        ):
            headers.append((b'retry-after', b'%.2f' % exc.retry_after_s))
        await self.send_response(
            BufferedResponse(
                answer.status, headers, json.dumps(document).encode()
            )
        )

    def record_metrics(self, call: call_module.Call, result: str) -> None:
        """Record the result of the call and its time to the first byte."""
        labels = (
            call.service_name,
            call.organisation,
            self._data_centre or 'none',
        )
        metrics.calls.labels(*labels, result).inc()
        if self._response_start_s is not None:
            metrics.first_token.labels(*labels).observe(
                self._response_start_s - call.arrived_s
            )
