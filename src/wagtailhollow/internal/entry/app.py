"""The callers' HTTP side: requests in, answers or errors out."""

from __future__ import annotations

import asyncio
import json
import re
import secrets
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from absl import logging
from starlette import routing

from ... import errors
from ..observability import logs, metrics
from ..settings import schema
from ..table import model, queries
from . import call as call_module
from . import calls

MAX_PREFIX_CHARS = 256
DEFAULT_MAX_TOKENS = 1_024
MAX_KEY_CHARS = 255
MAX_TOKENS_ASKED = 1_000_000_000
MAX_ECHO_CHARS = 80
BYTES_PER_TOKEN_ESTIMATE = 4
TAIL_BYTES = 1_024
# Quotes in the text of an answer are escaped in JSON, so the text cannot
# contain a match.
_COMPLETION_TOKENS = re.compile(rb'(?<!\\)"completion_tokens"\s*:\s*(\d+)')
_FORWARDED = ('content-type', 'accept', 'user-agent')
_REQUEST_ID_HEADER = b'x-request-id'

Scope = Mapping[str, Any]
Receive = Callable[[], Awaitable[Mapping[str, Any]]]
Send = Callable[[Mapping[str, Any]], Awaitable[None]]


class CallerApp:
    """ASGI application for callers."""

    def __init__(
        self,
        cfg: schema.EntrySettings,
        handler: calls.CallHandler,
        admission,
        table_view: Callable[[], queries.TableView | None],
    ) -> None:
        """Create the application.

        :param admission: ``admit(call)`` returns an async context manager
            that holds the limits while the call runs.
        """
        self._cfg = cfg
        self._handler = handler
        self._admission = admission
        self._table_view = table_view
        self.draining = False
        self.in_progress = 0

    def routes(self) -> list[routing.Route]:
        """Return the routes for callers."""
        plain = '/v1/services/{service}/{path:path}'
        return [
            routing.Route('/v1/chat/completions', _Endpoint(self.chat)),
            routing.Route(plain, _Endpoint(self.plain)),
            routing.Route('/v1/models', _Endpoint(self.models)),
            routing.Route('/v1/{path:path}', _Endpoint(self.unknown_path)),
        ]

    async def overloaded(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve connections over the limit; an ASGI application."""
        await _Endpoint(self._refuse_connection)(scope, receive, send)

    async def _refuse_connection(
        self, scope: Scope, receive: Receive, sink: HttpSink
    ) -> None:
        raise errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            f'{self._cfg.request_limits.max_connections} connections are open',
            retry_after_s=1.0,
        )

    async def unknown_path(
        self, scope: Scope, receive: Receive, sink: HttpSink
    ) -> None:
        """Refuse every other path under ``/v1``."""
        raise _bad_request(
            'no such path; use /v1/chat/completions, /v1/models or '
            '/v1/services/SERVICE/PATH'
        )

    async def chat(
        self, scope: Scope, receive: Receive, sink: HttpSink
    ) -> None:
        """Serve ``POST /v1/chat/completions``."""
        if scope['method'] != 'POST':
            raise _bad_request('use POST for chat completions')
        view, organisation = self._identify(scope)
        body = await self._read_body(scope, receive)
        document = _json_object(body)
        model_name = document.get('model')
        service_name = (
            view.service_of_model(model_name)
            if isinstance(model_name, str)
            else None
        )
        if service_name is None:
            raise errors.Refusal(
                errors.ErrorKind.UNKNOWN_MODEL,
                f'no service has the model {_echo(model_name)}; '
                'GET /v1/models lists the models',
            )
        call = self._call(
            scope,
            sink,
            organisation,
            service_name,
            view.service(service_name),
            '/v1/chat/completions',
            body,
            _worst_case_tokens(document, body),
            _prompt_prefix(document),
        )
        await self._serve(call, receive, sink)

    async def plain(
        self, scope: Scope, receive: Receive, sink: HttpSink
    ) -> None:
        """Serve ``/v1/services/<service>/<path>``."""
        view, organisation = self._identify(scope)
        name = scope['path_params']['service']
        service = view.service(name)
        if service is None or service.kind != 'plain':
            raise errors.Refusal(
                errors.ErrorKind.UNKNOWN_SERVICE,
                f'no plain service is named {_echo(name)}',
            )
        body = await self._read_body(scope, receive)
        path = _target_path(scope)
        call = self._call(
            scope, sink, organisation, name, service, path, body, 0, ''
        )
        await self._serve(call, receive, sink)

    async def models(
        self, scope: Scope, receive: Receive, sink: HttpSink
    ) -> None:
        """Serve ``GET /v1/models``."""
        view, _ = self._identify(scope)
        await self._read_body(scope, receive)
        rows = [
            {'id': model_name, 'object': 'model', 'owned_by': service_name}
            for service_name in view.names('service')
            for model_name in view.service(service_name).models
        ]
        document = {'object': 'list', 'data': rows}
        await sink.start(200, {'content-type': 'application/json'})
        await sink.write(json.dumps(document).encode())
        await sink.finish()

    def _identify(self, scope: Scope) -> tuple[queries.TableView, str]:
        view = self._table_view()
        if view is None or self.draining:
            raise errors.Refusal(
                errors.ErrorKind.NOT_READY,
                'this entry is starting or stopping; try again',
                retry_after_s=1.0,
            )
        scheme, _, key = _header(scope, b'authorization').partition(' ')
        name = (
            view.organisation_of_key(key.strip())
            if scheme.lower() == 'bearer'
            else None
        )
        if name is None:
            raise errors.Refusal(
                errors.ErrorKind.UNAUTHENTICATED,
                'send "Authorization: Bearer KEY" with a valid key',
            )
        return view, name

    async def _read_body(self, scope: Scope, receive: Receive) -> bytes:
        limits = self._cfg.request_limits
        head_bytes = _head_bytes(scope)
        if head_bytes > limits.max_header_bytes:
            raise errors.Refusal(
                errors.ErrorKind.HEADER_TOO_LARGE,
                f'the head of the request has {head_bytes} bytes, at most '
                f'{limits.max_header_bytes} are allowed',
            )
        declared = _header(scope, b'content-length')
        if declared.isdigit() and int(declared) > limits.max_body_bytes:
            raise _body_too_large(limits.max_body_bytes)
        body = bytearray()
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                more = True
                while more:
                    message = await receive()
                    if message['type'] == 'http.disconnect':
                        raise _bad_request('the connection was closed')
                    body += message.get('body', b'')
                    if len(body) > limits.max_body_bytes:
                        raise _body_too_large(limits.max_body_bytes)
                    more = message.get('more_body', False)
        except TimeoutError:
            raise errors.Refusal(
                errors.ErrorKind.SLOW_SENDER,
                f'the body did not arrive within {limits.body_timeout_s} s',
            ) from None
        return bytes(body)

    def _call(
        self,
        scope: Scope,
        sink: HttpSink,
        organisation: str,
        service_name: str,
        service: model.Service,
        path: str,
        body: bytes,
        tokens: int,
        prefix: str,
    ) -> call_module.Call:
        key = _idempotency_key(scope)
        is_repeatable = (
            service.kind == 'model'
            or scope['method'] in service.repeatable_methods
        )
        deadline_s = self._cfg.request_limits.call_deadline_s
        return call_module.Call(
            call_id=sink.request_id,
            organisation=organisation,
            service_name=service_name,
            service=service,
            method=scope['method'],
            path=path,
            headers={
                name: value
                for name in _FORWARDED
                if (value := _header(scope, name.encode()))
            },
            body=body,
            idempotency_key=key,
            must_not_repeat=key is not None or not is_repeatable,
            tokens=tokens,
            prefix=prefix,
            deadline_s=time.monotonic() + deadline_s,
        )

    async def _serve(
        self, call: call_module.Call, receive: Receive, sink: HttpSink
    ) -> None:
        sink.observe(call)
        self.in_progress += 1
        work = asyncio.create_task(self._admitted(call, sink))
        leave = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (work, leave), return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done():
                # A call that must run once goes on: its outcome is recorded.
                if not call.must_not_repeat:
                    work.cancel()
                await asyncio.gather(work, return_exceptions=True)
                sink.count('caller_left')
                return
            await work
        finally:
            leave.cancel()
            self.in_progress -= 1

    async def _admitted(self, call: call_module.Call, sink: HttpSink) -> None:
        async with self._admission.admit(call) as admitted:
            await self._handler.handle(call, sink)
            prompt_tokens = len(call.body) // BYTES_PER_TOKEN_ESTIMATE
            if sink.tokens_sent is not None:
                admitted.used(prompt_tokens + sink.tokens_sent)


class _Endpoint:
    """ASGI endpoint that turns refusals into answers."""

    def __init__(self, serve) -> None:
        self._serve = serve

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        sink = HttpSink(send, scope)
        logs.request_id.set(sink.request_id)
        try:
            await self._serve(scope, receive, sink)
            sink.count('ok')
        except errors.Refusal as exc:
            await sink.refuse(exc)
        except Exception:
            logging.exception('call failed')
            await sink.refuse(
                errors.Refusal(errors.ErrorKind.INTERNAL, 'the entry failed')
            )


class HttpSink:
    """Sends one answer to a caller and measures it."""

    def __init__(self, send: Send, scope: Scope) -> None:
        self._send = send
        self._has_key = bool(_header(scope, b'idempotency-key'))
        self._has_body = _has_body(scope)
        self.request_id = secrets.token_hex(12)
        self.is_started = False
        self._is_stream = False
        self._is_finished = False
        self._is_counted = False
        self._call: call_module.Call | None = None
        self._data_centre = ''
        self._first_s: float | None = None
        self._last_s = 0.0
        self._events = 0
        self._tail = b''
        self._status = 0

    def observe(self, call: call_module.Call) -> None:
        """Measure the answer as that of *call*."""
        self._call = call

    def served_by(self, data_centre: str) -> None:
        """See :class:`call.AnswerSink`."""
        self._data_centre = data_centre

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """See :class:`call.AnswerSink`."""
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
        """See :class:`call.AnswerSink`."""
        now_s = time.monotonic()
        if self._first_s is None:
            self._first_s = now_s
        self._last_s = now_s
        if self._is_stream:
            self._events += data.count(b'data:')
            self._tail = (self._tail[-1:] + data)[-2:]
        else:
            self._tail = (self._tail + data)[-TAIL_BYTES:]
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )

    async def finish(self) -> None:
        """See :class:`call.AnswerSink`."""
        self._is_finished = True
        await self._send(
            {'type': 'http.response.body', 'body': b'', 'more_body': False}
        )

    @property
    def tokens_sent(self) -> int | None:
        """Return the tokens of the answer, or None if they are not known.

        A stream has one event a token, one more than that with its end. Any
        other answer names them in ``usage.completion_tokens``.
        """
        if self._is_stream:
            return self._events
        if self._status >= 400:
            return 0
        found = _COMPLETION_TOKENS.findall(self._tail)
        return int(found[-1]) if found else None

    async def refuse(self, exc: errors.Refusal) -> None:
        """Answer with an error, also when the answer has begun.

        A streamed answer that was cut ends with an ``error`` event. Any other
        answer that was cut has its connection closed without the last chunk,
        so that the caller's HTTP library reports it as incomplete.
        """
        self.count(exc.kind.value)
        if not self.is_started:
            await self._send_error(exc)
        elif self._is_stream and not self._is_finished:
            event = json.dumps(self._document(exc))
            # An event that was cut must not swallow the error event.
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
        """Count the call and its times in the metrics."""
        if self._call is None or self._is_counted:
            return
        self._is_counted = True
        labels = (
            self._call.service_name,
            self._call.organisation,
            self._data_centre or 'none',
        )
        metrics.calls.labels(*labels, result).inc()
        if self._first_s is None:
            return
        metrics.first_token.labels(*labels).observe(
            self._first_s - self._call.arrived_s
        )
        if self._events > 1:
            mean_s = (self._last_s - self._first_s) / (self._events - 1)
            metrics.between_tokens.labels(*labels).observe(mean_s)

    def _answer(self, exc: errors.Refusal) -> errors.Answer:
        """Return the answer of *exc*, as far as it is true of the call.

        The kind speaks of the last step only. An attempt before it, or an
        earlier request with the same key, may have been executed.
        """
        record = self._call.execution if self._call else None
        if record is not None and record.may_have_run:
            return exc.answer.uncertain()
        is_key_free = record is not None and record.is_key_free
        is_transient = exc.answer.retry is errors.Retry.LATER
        if self._has_key and is_transient and not is_key_free:
            return exc.answer.uncertain()
        return exc.answer

    async def _send_error(self, exc: errors.Refusal) -> None:
        answer = self._answer(exc)
        headers = {
            'content-type': 'application/json',
            'x-execution': answer.execution.value,
        }
        if self._has_body and self._call is None:
            # The rest of the body would have to be read first otherwise.
            headers['connection'] = 'close'
        if exc.retry_after_s is not None:
            headers['retry-after'] = str(max(1, round(exc.retry_after_s)))
        await self.start(answer.status, headers)
        await self._send(
            {
                'type': 'http.response.body',
                'body': json.dumps(self._document(exc)).encode(),
                'more_body': False,
            }
        )

    def _document(self, exc: errors.Refusal) -> dict[str, Any]:
        answer = self._answer(exc)
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


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass


def _header(scope: Scope, name: bytes) -> str:
    for key, value in scope['headers']:
        if key == name:
            return value.decode('latin-1')
    return ''


def _head_bytes(scope: Scope) -> int:
    fields = sum(len(key) + len(value) + 4 for key, value in scope['headers'])
    return fields + len(scope['raw_path']) + len(scope['query_string'])


def _has_body(scope: Scope) -> bool:
    length = _header(scope, b'content-length')
    return length not in ('', '0') or bool(
        _header(scope, b'transfer-encoding')
    )


def _idempotency_key(scope: Scope) -> str | None:
    """Return the caller's key, or None without the header.

    A key that is empty or given twice is refused: the caller relies on it,
    and without it a repeated request would run again.
    """
    keys = [
        value.decode('latin-1')
        for name, value in scope['headers']
        if name == b'idempotency-key'
    ]
    if not keys:
        return None
    if len(keys) > 1 or not 0 < len(keys[0]) <= MAX_KEY_CHARS:
        raise _bad_request(
            f'Idempotency-Key has to be given once, with 1 to {MAX_KEY_CHARS} '
            f'characters; got {len(keys)} with '
            f'{max(map(len, keys))} characters'
        )
    return keys[0]


def _target_path(scope: Scope) -> str:
    """Return path and query for the target as the caller sent them.

    The decoded path would lose the difference between ``?`` and ``%3F``.
    """
    raw = scope['raw_path'].decode('latin-1')
    path = '/' + raw.removeprefix('/v1/services/').partition('/')[2]
    query = scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path


def _echo(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_ECHO_CHARS else text[:MAX_ECHO_CHARS] + '…'


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise _bad_request(f'the body is not JSON: {exc}') from exc
    if not isinstance(document, dict):
        raise _bad_request('the body is not a JSON object')
    return document


def _worst_case_tokens(document: Mapping[str, Any], body: bytes) -> int:
    asked = document.get('max_tokens', DEFAULT_MAX_TOKENS)
    if type(asked) is not int or not 1 <= asked <= MAX_TOKENS_ASKED:
        raise _bad_request(
            'max_tokens has to be a whole number from 1 to '
            f'{MAX_TOKENS_ASKED}, got {_echo(asked)}'
        )
    return asked + len(body) // BYTES_PER_TOKEN_ESTIMATE


def _prompt_prefix(document: Mapping[str, Any]) -> str:
    messages = document.get('messages')
    if not isinstance(messages, list):
        raise _bad_request('messages has to be a list')
    try:
        # ASCII only: a lone surrogate could not be encoded later.
        return json.dumps(messages[:2])[:MAX_PREFIX_CHARS]
    except RecursionError as exc:
        raise _bad_request('messages are nested too deeply') from exc


def _bad_request(message: str) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.BAD_REQUEST, message)


def _body_too_large(limit: int) -> errors.Refusal:
    return errors.Refusal(
        errors.ErrorKind.BODY_TOO_LARGE,
        f'the body exceeds the limit of {limit} bytes',
    )
