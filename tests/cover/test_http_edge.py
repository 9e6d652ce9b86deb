"""Tests of the HTTP interface for callers: invalid input and truncation."""

from __future__ import annotations

import asyncio
import contextlib
import json
import types

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import deployment
from wagtailhollow import errors
from wagtailhollow.internal.daemon import http
from wagtailhollow.internal.entry import app, http_protocol
from wagtailhollow.internal.settings import schema
from wagtailhollow.internal.table import model, queries

LIMITS = schema.RequestLimits(
    max_body_bytes=2_000,
    max_header_bytes=2_048,
    max_connections=4,
    body_timeout_s=0.4,
)
KEY = 'Authorization: Bearer key-council\r\n'
CHAT = 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n'
PLAIN = 'POST /v1/services/orders/a%3Fb?c=1 HTTP/1.1\r\nHost: x\r\n'


class Handler:
    """Call handler that answers with the path, or calls ``fail`` first."""

    def __init__(self):
        self.fail = None
        self.calls = []

    async def handle(self, call, sink):
        self.calls.append(call)
        if self.fail is not None:
            await self.fail(call, sink)
        await sink.start(200, {'content-type': 'text/plain'})
        await sink.write(call.path.encode())
        await sink.finish()


class OpenAdmission:
    """Admission without limits."""

    @contextlib.asynccontextmanager
    async def admit(self, call):
        yield types.SimpleNamespace()


def caller_app(handler):
    rows = {
        'organisation/council': deployment.organisation_row('council', {}),
        'service/orders': {'kind': 'plain'},
        'service/reports': {'kind': 'model', 'models': ['writer']},
    }
    view = queries.TableView(model.Table(1, rows))
    cfg = schema.EntrySettings(
        'e', 'dc', 'd', '127.0.0.1:1', '127.0.0.1:2', 'http://x', 'k',
        request_limits=LIMITS,
    )  # fmt: skip
    return app.CallerApp(cfg, handler, OpenAdmission(), lambda: view)


def serve(scenario, handler=None):
    """Run ``scenario(port)`` against the caller interface of an entry."""

    async def go():
        callers = caller_app(handler or Handler())
        port = deployment.free_ports(1)[0]
        server = http.HttpServer(
            callers.routes(),
            f'127.0.0.1:{port}',
            protocol=http_protocol.bounded_protocol(
                LIMITS, callers.overloaded
            ),
        )
        await server.start()
        try:
            async with asyncio.timeout(10):
                return await scenario(port)
        finally:
            await server.stop()

    return asyncio.run(go())


def exchange(*pieces, pause_s=0.0, handler=None):
    """Send *pieces* of a request; return status, headers and body."""

    async def scenario(port):
        return await _exchange(port, pieces, pause_s)

    return serve(scenario, handler)


async def _exchange(port, pieces, pause_s=0.0):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        for piece in pieces:
            writer.write(piece)
            await asyncio.sleep(pause_s)
        return await _read_answer(reader)
    finally:
        writer.close()


async def _read_answer(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    first, *lines = head.strip().split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in lines)
    if 'content-length' in headers:
        body = await reader.readexactly(int(headers['content-length']))
    else:
        size = int(await reader.readline(), 16)
        body = await reader.readexactly(size)
    return int(first.split()[1]), headers, body


def assert_error(answer, kind, execution=None):
    status, headers, body = answer
    expected = errors.ANSWERS[kind]
    document = json.loads(body)['error']
    assert (status, document['kind']) == (expected.status, kind.value)
    assert headers['x-execution'] == document['execution']
    assert document['execution'] == (execution or expected.execution).value


def request(head, body=b'', extra=KEY):
    length = f'Content-Length: {len(body)}\r\n\r\n'
    return (head + extra + length).encode() + body


@pytest.mark.parametrize(
    ('data', 'kind'),
    [
        (b'\x00\x01 nonsense\r\n\r\n', 'BAD_REQUEST'),
        (request(CHAT, extra=''), 'UNAUTHENTICATED'),
        (request(CHAT, extra='Authorization: Bearer no\r\n'),
         'UNAUTHENTICATED'),
        (request(CHAT, b'{"model"'), 'BAD_REQUEST'),
        (request(CHAT, b'[' * 1900), 'BAD_REQUEST'),
        (request(CHAT, b'{"model": "nope"}'), 'UNKNOWN_MODEL'),
        (request(CHAT, b'{"model": ["a"]}'), 'UNKNOWN_MODEL'),
        (request(CHAT, b'x' * 2001), 'BODY_TOO_LARGE'),
        ((CHAT + KEY + 'Content-Length: 9000000\r\n\r\n').encode(),
         'BODY_TOO_LARGE'),
        (request(CHAT, extra=KEY + 'X-A: ' + 'a' * 2048 + '\r\n'),
         'HEADER_TOO_LARGE'),
        ((CHAT + 'X-A: ' + 'a' * 4000).encode(), 'HEADER_TOO_LARGE'),
        (request(PLAIN.replace('orders', 'none')), 'UNKNOWN_SERVICE'),
        (request('GET /v1/other HTTP/1.1\r\n'), 'BAD_REQUEST'),
        (request(PLAIN, extra=KEY + 'Idempotency-Key:\r\n'), 'BAD_REQUEST'),
        (request(PLAIN, extra=KEY + 'Idempotency-Key: a\r\n' * 2),
         'BAD_REQUEST'),
        (request(PLAIN, extra=KEY + f'Idempotency-Key: {"a" * 256}\r\n'),
         'BAD_REQUEST'),
        (request(PLAIN, extra=KEY + 'Request-Timeout: soon\r\n'),
         'BAD_REQUEST'),
    ],
)  # fmt: skip
def test_invalid_request_gets_its_documented_error(data, kind):
    """Guards against undocumented errors and calls for invalid input."""
    handler = Handler()
    assert_error(exchange(data, handler=handler), errors.ErrorKind[kind])
    assert not handler.calls


def test_slow_head_and_slow_body_time_out():
    """Guards against connections kept open by sending slowly."""
    slow = errors.ErrorKind.SLOW_SENDER
    head = (CHAT + KEY + 'Content-Length: 100\r\n\r\n').encode()
    assert_error(exchange(head, b'{', pause_s=0.1), slow)
    answer = exchange(CHAT.encode(), b'X', pause_s=0.1)
    assert_error(answer, slow, errors.Execution.MAY_HAVE_RUN)


def test_idle_connection_is_closed():
    """Guards against connections kept open without sending anything."""

    async def scenario(port):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        assert await reader.read() == b''
        writer.close()

    serve(scenario)


def test_connections_over_the_limit_get_overloaded():
    """Guards against callers that exhaust the file descriptors."""

    async def scenario(port):
        held = [
            await asyncio.open_connection('127.0.0.1', port)
            for _ in range(LIMITS.max_connections)
        ]
        excess = await _exchange(port, [request(PLAIN)])
        for _, writer in held:
            writer.close()
        await asyncio.sleep(0.1)
        return excess, await _exchange(port, [request(PLAIN)])

    excess, after = serve(scenario)
    assert_error(excess, errors.ErrorKind.OVERLOADED)
    assert after[0] == 200


def test_request_timeout_header_shortens_the_deadline():
    """Guards against executions for callers that no longer wait."""
    handler = Handler()
    extra = KEY + 'Request-Timeout: 2.5\r\n'
    assert exchange(request(PLAIN, extra=extra), handler=handler)[0] == 200
    assert handler.calls[0].remaining_s() <= 2.5


def test_path_is_forwarded_without_decoding():
    """Guards against a decoded path that names another resource."""
    assert exchange(request(PLAIN))[2] == b'/a%3Fb?c=1'


def test_refusal_after_an_uncertain_attempt_does_not_say_not_run():
    """Guards against "not run" from a second attempt hiding the first."""

    async def fail(call, sink):
        call.execution.may_have_run = True
        raise errors.Refusal(errors.ErrorKind.TARGET_FULL, 'full')

    handler = Handler()
    handler.fail = fail
    assert_error(
        exchange(request(PLAIN), handler=handler),
        errors.ErrorKind.TARGET_FULL,
        errors.Execution.MAY_HAVE_RUN,
    )


@pytest.mark.parametrize('is_idempotency_key_free', [True, False])
def test_refusal_with_idempotency_key_says_not_run_only_after_claim_read(
    is_idempotency_key_free,
):
    """Guards against "not run" for a key that was executed earlier."""

    async def fail(call, sink):
        call.execution.is_idempotency_key_free = is_idempotency_key_free
        raise errors.Refusal(errors.ErrorKind.NO_TARGET, 'none')

    handler = Handler()
    handler.fail = fail
    data = request(PLAIN, extra=KEY + 'Idempotency-Key: k\r\n')
    execution = (
        errors.Execution.NOT_RUN
        if is_idempotency_key_free
        else errors.Execution.MAY_HAVE_RUN
    )
    kind = errors.ErrorKind.NO_TARGET
    assert_error(exchange(data, handler=handler), kind, execution)


def test_truncated_answer_never_looks_complete():
    """Guards against truncation without an error the caller can detect."""

    async def fail(call, sink):
        kind = 'event-stream' if 'stream' in call.path else 'plain'
        await sink.start(200, {'content-type': f'text/{kind}'})
        await sink.write(b'data: {"half')
        raise errors.Refusal(errors.ErrorKind.ANSWER_INCOMPLETE, 'cut')

    async def read_all(port, path):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        head = f'GET /v1/services/orders/{path} HTTP/1.1\r\n'
        writer.write(request(head, extra=KEY + 'Connection: close\r\n'))
        text = await reader.read()
        writer.close()
        return text

    async def scenario(port):
        return await read_all(port, 'stream'), await read_all(port, 'whole')

    handler = Handler()
    handler.fail = fail
    stream, whole = serve(scenario, handler)
    assert b'data: {"half' in stream
    assert b'\n\nevent: error\ndata: {' in stream
    assert b'[DONE]' not in stream
    assert not whole.endswith(b'0\r\n\r\n')


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.binary(max_size=300)
    | JSON.map(lambda value: json.dumps(value).encode())
    | st.fixed_dictionaries(
        {'model': st.just('writer') | st.text(max_size=8)},
        optional={'messages': JSON, 'max_tokens': JSON, 'stream': JSON},
    ).map(lambda value: json.dumps(value).encode()),
    st.binary(max_size=40),
)
def test_any_body_and_key_gets_an_answer_or_documented_error(body, key):
    """Guards against input that causes INTERNAL or no answer."""
    scope = {
        'type': 'http',
        'method': 'POST',
        'headers': [
            (b'authorization', b'Bearer key-council'),
            (b'idempotency-key', key),
        ],
        'raw_path': b'/v1/chat/completions',
        'query_string': b'',
    }
    sent = []
    waiting = asyncio.Event()

    async def receive():
        if waiting.is_set():
            await asyncio.sleep(60)
        waiting.set()
        return {'type': 'http.request', 'body': body}

    async def send(message):
        sent.append(message)

    async def go():
        callers = caller_app(Handler())
        endpoint = callers.routes()[0].endpoint
        await endpoint(scope, receive, send)

    asyncio.run(go())
    status = sent[0]['status']
    text = b''.join(row.get('body', b'') for row in sent[1:])
    if status != 200:
        kind = errors.ErrorKind(json.loads(text)['error']['kind'])
        assert kind is not errors.ErrorKind.INTERNAL
        assert status == errors.ANSWERS[kind].status
    assert sent[-1]['more_body'] is False
