"""Sends answers to callers over ASGI and records their metrics."""

from __future__ import annotations

import json
import re
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from ... import errors
from ..observability import metrics
from . import call as call_module
from . import requests

TAIL_BYTES = 1_024
# Quotes within a JSON string are escaped, so generated text cannot match.
_COMPLETION_TOKENS = re.compile(rb'(?<!\\)"completion_tokens"\s*:\s*(\d+)')
_REQUEST_ID_HEADER = b'x-request-id'

Send = Callable[[Mapping[str, Any]], Awaitable[None]]


class HttpSink:
    """Sends one answer to a caller and records its metrics."""

    def __init__(self, send: Send, scope: requests.Scope) -> None:
        self._send = send
        self._has_idempotency_key = bool(
            requests.header(scope, b'idempotency-key')
        )
        self._has_body = requests.has_body(scope)
        self.request_id = secrets.token_hex(12)
        self.is_started = False
        self._is_stream = False
        self._is_finished = False
        self._is_counted = False
        self._call: call_module.Call | None = None
        self._data_centre = ''
        self._first_byte_s: float | None = None
        self._last_byte_s = 0.0
        self._events = 0
        self._tail = b''
        self._status = 0

    def observe(self, call: call_module.Call) -> None:
        """Set the call for which the metrics are recorded."""
        self._call = call

    def set_data_centre(self, data_centre: str) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        self._data_centre = data_centre

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        self._status = status
        self._is_stream = 'event-stream' in headers.get('content-type', '')
        rows = [
            (
                name.lower().encode('utf-8', 'surrogateescape'),
                value.encode('utf-8', 'surrogateescape'),
            )
            for name, value in headers.items()
            if name.lower().encode() != _REQUEST_ID_HEADER
        ]
        rows.append((_REQUEST_ID_HEADER, self.request_id.encode()))
        self.is_started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': rows,
            }
        )

    async def write(self, data: bytes) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        now_s = time.monotonic()
        if self._first_byte_s is None:
            self._first_byte_s = now_s
        self._last_byte_s = now_s
        if self._is_stream:
            self._events += data.count(b'data:')
            self._tail = (self._tail[-1:] + data)[-2:]
        else:
            self._tail = (self._tail + data)[-TAIL_BYTES:]
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        self._is_finished = True
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )

    @property
    def tokens_sent(self) -> int | None:
        """Return the tokens of the answer, or None if they are not known.

        Of a stream the events are counted: one for each token and one that
        ends it, so the number is usually one too high. Any other answer
        contains the number in ``usage.completion_tokens``.
        """
        if self._is_stream:
            return self._events
        if self._status >= 400:
            return 0
        found = _COMPLETION_TOKENS.findall(self._tail)
        return int(found[-1]) if found else None

    async def refuse(self, exc: errors.Refusal) -> None:
        """Send an error, also after the answer has started.

        A truncated stream ends with an ``error`` event. For any other
        truncated answer the connection is closed without the last chunk, so
        that the caller's HTTP library reports the answer as incomplete.
        """
        self.count(exc.kind.value)
        if not self.is_started:
            await self._send_error(exc)
        elif self._is_stream and not self._is_finished:
            event = json.dumps(self._error_document(exc))
            # Ends a truncated event, which would contain the error otherwise.
            is_cut = self._tail and not self._tail.endswith(b'\n\n')
            start = '\n\n' if is_cut else ''
            data = f'{start}event: error\ndata: {event}\n\n'.encode()
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': data,
                    'more_body': False,
                }
            )
        elif not self._is_finished:
            raise ConnectionAbortedError(exc.message)

    def count(self, result: str) -> None:
        """Record the result and the latencies of the call in the metrics."""
        if self._call is None or self._is_counted:
            return
        self._is_counted = True
        labels = (
            self._call.service_name,
            self._call.organisation,
            self._data_centre or 'none',
        )
        metrics.calls.labels(*labels, result).inc()
        if self._first_byte_s is None:
            return
        metrics.first_token.labels(*labels).observe(
            self._first_byte_s - self._call.arrived_s
        )
        if self._events > 1:
            mean_s = (self._last_byte_s - self._first_byte_s) / (
                self._events - 1
            )
            metrics.between_tokens.labels(*labels).observe(mean_s)

    def _answer_for(self, exc: errors.Refusal) -> errors.Answer:
        """Return the answer for *exc*, uncertain if the call may have run.

        The error kind describes the last step only. An earlier attempt, or an
        earlier request with the same key, may have been executed.
        """
        record = self._call.execution if self._call else None
        if record is not None and record.may_have_run:
            return exc.answer.uncertain()
        is_idempotency_key_free = (
            record is not None and record.is_idempotency_key_free
        )
        is_transient = exc.answer.retry is errors.Retry.LATER
        if (
            self._has_idempotency_key
            and is_transient
            and not is_idempotency_key_free
        ):
            return exc.answer.uncertain()
        return exc.answer

    async def _send_error(self, exc: errors.Refusal) -> None:
        answer = self._answer_for(exc)
        headers = {
            'content-type': 'application/json',
            'x-execution': answer.execution.value,
        }
        if self._has_body and self._call is None:
            # To reuse the connection, the rest of the body would have to be
            # read first.
            headers['connection'] = 'close'
        if exc.retry_after_s is not None:
            headers['retry-after'] = str(max(1, round(exc.retry_after_s)))
        await self.start(answer.status, headers)
        await self._send(
            {
                'type': 'http.response.body',
                'body': json.dumps(self._error_document(exc)).encode(),
                'more_body': False,
            }
        )

    def _error_document(self, exc: errors.Refusal) -> dict[str, Any]:
        answer = self._answer_for(exc)
        return {
            'error': {
                'kind': exc.kind.value,
                'type': exc.kind.value,
                'message': exc.message,
                'execution': answer.execution.value,
                'retry': answer.retry.value,
                'request_id': self.request_id,
            }
        }
