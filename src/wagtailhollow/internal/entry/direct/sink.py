"""Sends one answer of a target, or a refusal, to a caller."""

from __future__ import annotations

import dataclasses
import json
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from .... import errors
from ...http1 import connection
from ...observability import metrics
from .. import call as call_module
from . import events

Send = Callable[[Mapping[str, Any]], Awaitable[None]]

_REQUEST_ID = b'x-request-id'
_UNPROVEN_STATUS = 502
_HOP_BY_HOP = frozenset(
    {b'connection', b'keep-alive', b'transfer-encoding', b'upgrade'}
)


@dataclasses.dataclass(frozen=True)
class BufferedResponse:
    """A complete answer of a target."""

    status: int
    headers: connection.Headers
    body: bytes


class DirectSink:
    """Where the answer to one call goes.

    :ivar fallback: a target's failure, sent if no other attempt succeeds.
    :ivar position: how far a stream was passed on.
    """

    def __init__(
        self,
        send: Send,
        request_id: bytes,
        last_event_id: bytes,
        is_closing: Callable[[], bool],
    ) -> None:
        """Create a sink.

        :param is_closing: whether connections end after their answer.
        """
        self._send = send
        self._request_id = request_id
        self._is_closing = is_closing
        self._data_centre = ''
        self._first_s: float | None = None
        self.is_started = False
        self.is_finished = False
        self.status = 0
        self.target = ''
        self.position = events.EventPosition(last_event_id)
        self.fallback: BufferedResponse | None = None

    def set_data_centre(self, data_centre: str) -> None:
        """See :class:`sink.AnswerSink`."""
        self._data_centre = data_centre

    async def start(self, status: int, headers: connection.Headers) -> None:
        """See :class:`sink.AnswerSink`; takes the headers as pairs."""
        rows = [item for item in headers if item[0] not in _HOP_BY_HOP]
        if not any(name == _REQUEST_ID for name, _ in rows):
            rows.append((_REQUEST_ID, self._request_id))
        if self._is_closing():
            rows.append((b'connection', b'close'))
        self.is_started = True
        self.status = status
        self._first_s = time.monotonic()
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': rows,
            }
        )

    async def write(self, data: bytes) -> None:
        """See :class:`sink.AnswerSink`."""
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self) -> None:
        """See :class:`sink.AnswerSink`."""
        self.is_finished = True
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )

    async def whole(self, answer: BufferedResponse) -> None:
        """Send a complete answer."""
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
        """Answer with an error; cuts an answer that has begun.

        :param record: what is known of the execution of the call.
        """
        if self.is_finished:
            return
        if self.is_started:
            raise ConnectionAbortedError(exc.message)
        if self.fallback is not None:
            await self.whole(self.fallback)
            return
        answer = exc.answer
        if record is not None and record.may_have_run:
            answer = answer.uncertain()
            if answer.status in errors.NOT_RUN_STATUSES:
                answer = dataclasses.replace(answer, status=_UNPROVEN_STATUS)
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
        await self.whole(
            BufferedResponse(
                answer.status, headers, json.dumps(document).encode()
            )
        )

    def count(self, call: call_module.Call, result: str) -> None:
        """Count the call and its time to the first byte."""
        labels = (
            call.service_name,
            call.organisation,
            self._data_centre or 'none',
        )
        metrics.calls.labels(*labels, result).inc()
        if self._first_s is not None:
            metrics.first_token.labels(*labels).observe(
                self._first_s - call.arrived_s
            )
