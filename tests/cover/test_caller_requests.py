"""What the parser in front makes of callers' bytes, however they are split."""

from __future__ import annotations

import asyncio
import itertools

import pytest
import uvicorn
from hypothesis import given, settings
from hypothesis import strategies as st
from uvicorn import server as uvicorn_server

from wagtailhollow.internal.entry import caller_memory, http_protocol

LIMIT = 2_048
TOKEN = st.text('abcdefghijklmnopqrstuvwxyz-', min_size=1, max_size=12)
VALUE = st.text('abc 123=;,', max_size=30).map(str.strip)
BODY = st.binary(max_size=600)


class Transport(asyncio.Transport):
    """Transport that keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written = b''
        self.is_closed = False

    def get_extra_info(self, name, default=None):
        return default

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written += data

    def can_write_eof(self):
        return True

    def write_eof(self):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close


class Site:
    """Connections to an application that reads bodies and records requests.

    :ivar seen: header lines and body of each request, in order.
    """

    def __init__(self, memory=None):
        self.seen = []
        self.memory = memory or caller_memory.CallerMemory()
        cfg = uvicorn.Config(
            self._serve, lifespan='off', log_config=None, interface='asgi3'
        )
        cfg.load()
        self._cfg = cfg
        self._state = uvicorn_server.ServerState()
        self._protocol = http_protocol.bounded_protocol(
            http_protocol.ConnectionLimits(max_header_bytes=LIMIT),
            self._serve,
            self.memory,
        )

    async def _serve(self, scope, receive, send):
        body = b''
        while True:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message['body']
            if not message['more_body']:
                break
        self.seen.append((list(scope['headers']), body))
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': []}
        )
        await send({'type': 'http.response.body', 'body': b''})

    def connect(self):
        """Return a connection and its transport."""
        conn = self._protocol(self._cfg, self._state, {})
        transport = Transport()
        conn.connection_made(transport)
        return conn, transport


def run(pieces, site):
    """Send pieces on one connection; return what it wrote, and its state."""

    async def go():
        conn, transport = site.connect()
        for piece in pieces:
            conn.data_received(piece)
            await asyncio.sleep(0)
        for _ in range(50):
            await asyncio.sleep(0)
        held = conn.held_bytes
        conn.connection_lost(None)
        return transport.written, transport.is_closed, held

    return asyncio.run(go())


@st.composite
def requests(draw):
    """Return the bytes of a request, its header lines and its body."""
    names = draw(st.lists(TOKEN, max_size=4))
    rows = [('x-' + name, draw(VALUE)) for name in names]
    body = draw(BODY)
    framing = draw(st.sampled_from(['length', 'chunks', 'trailers']))
    if framing == 'length':
        rows.append(('content-length', str(len(body))))
        encoded = body
    else:
        rows.append(('transfer-encoding', 'chunked'))
        cuts = sorted(draw(st.sets(st.integers(1, 599), max_size=4)))
        cuts = [0, *(cut for cut in cuts if cut < len(body)), len(body)]
        encoded = b''.join(
            b'%x\r\n%s\r\n' % (end - start, body[start:end])
            for start, end in itertools.pairwise(cuts)
            if end > start
        )
        trailer = b'x-late: 1\r\nhost: b\r\n' if framing == 'trailers' else b''
        encoded += b'0\r\n' + trailer + b'\r\n'
    lines = ''.join(f'{name}: {value}\r\n' for name, value in rows)
    head = f'POST /p HTTP/1.1\r\n{lines}\r\n'.encode()
    expected = [(name.encode(), value.encode()) for name, value in rows]
    return head + encoded, expected, body


@settings(max_examples=60, deadline=None)
@given(st.lists(requests(), min_size=1, max_size=4), st.data())
def test_requests_arrive_byte_for_byte(sent, data):
    """Guards against bytes of one request that are taken for another's.

    Heads, chunks and trailers are split anywhere, and the next request may
    come before the answer.
    """
    stream = b''.join(item[0] for item in sent)
    cuts = data.draw(st.sets(st.integers(1, len(stream)), max_size=12))
    edges = [0, *sorted(cuts), len(stream)]
    site = Site()
    written, _, held = run(
        [stream[a:b] for a, b in itertools.pairwise(edges)], site
    )
    assert site.seen == [(rows, body) for _, rows, body in sent]
    assert written.count(b'HTTP/1.1 200 ') == len(sent)
    assert held == 0 and site.memory.held_bytes == 0


@pytest.mark.parametrize('piece', [b'a: b\r\n' * 100, b'a' * 600])
def test_trailers_without_end_are_refused(piece):
    """Guards against trailers that are collected, by lines or as one."""
    site = Site()
    start = b'POST /p HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n'
    pieces = [start, *([piece] * 200)]
    written, _, held = run(pieces, site)
    assert b'HTTP/1.1 431 ' in written
    assert not site.seen and held == 0


@pytest.mark.parametrize(
    'framing', [b'content-length: 30', b'transfer-encoding: chunked']
)
def test_body_after_an_offer_to_upgrade_is_refused(framing):
    """Guards against a request inside a body that runs as one of its own."""
    inner = b'GET /inner HTTP/1.1\r\nhost: a\r\n\r\n'
    site = Site()
    written, _, _ = run(
        [
            b'POST /p HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n'
            + framing
            + b'\r\n\r\n'
            + inner
        ],
        site,
    )
    assert written.startswith(b'HTTP/1.1 400 ')
    assert not site.seen


def test_many_requests_at_once_wait_unparsed():
    """Guards against an object for each of thousands of pipelined requests."""
    request = b'GET /p HTTP/1.1\r\nhost: a\r\n\r\n'
    site = Site()
    count = 5_000

    async def go():
        conn, transport = site.connect()
        conn.data_received(request * count)
        waiting = len(conn.pipeline)
        while transport.written.count(b'HTTP/1.1 200 ') < count:
            await asyncio.sleep(0)
        conn.connection_lost(None)
        return waiting

    most = http_protocol.SLICE_BYTES // len(request) + 1
    assert asyncio.run(go()) <= most
    assert len(site.seen) == count


def test_largest_requests_are_given_up_first():
    """Guards against large bodies that keep ordinary callers out."""
    memory = caller_memory.CallerMemory(2_000_000)
    site = Site(memory)
    large = b'POST /p HTTP/1.1\r\ncontent-length: 900000\r\n\r\n'
    small = b'POST /p HTTP/1.1\r\ncontent-length: 2\r\n\r\n'

    async def go():
        conns = [site.connect() for _ in range(6)]
        for number, (conn, _) in enumerate(conns):
            conn.data_received(large)
            for _ in range(8 - number):
                conn.data_received(b'a' * 50_000)
                await asyncio.sleep(0)
        refused = [
            transport.written.startswith(b'HTTP/1.1 503 ')
            for _, transport in conns
        ]
        others = [site.connect() for _ in range(20)]
        for conn, _ in others:
            conn.data_received(small)
            await asyncio.sleep(0)
            conn.data_received(b'ok')
        for _ in range(50):
            await asyncio.sleep(0)
        answered = [
            transport.written.startswith(b'HTTP/1.1 200 ')
            for _, transport in others
        ]
        for conn, _ in conns + others:
            conn.connection_lost(None)
        return refused, answered

    refused, answered = asyncio.run(go())
    assert refused[0] and not all(refused)
    assert all(answered)
    assert memory.held_bytes == 0
    assert [body for _, body in site.seen] == [b'ok'] * 20
