"""HTTP/1.1 connections: matching, completeness and reuse of responses."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailhollow.internal.http1 import connection, pool

ID = b'7f3a'


def request(request_id=ID, body=b''):
    head = connection.request_head(
        'POST',
        b'/a/b?c=%2F',
        ((b'content-length', str(len(body)).encode()),),
    )
    return connection.Request(head, body, request_id)


def answer(body=b'whole', request_id=ID, status=200, extra=b''):
    return (
        b'HTTP/1.1 %d OK\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s'
        % (status, request_id, len(body), extra, body)
    )


def run_with_server(script, work):
    """Run *work* against a server that runs *script* per connection."""

    async def run():
        async def serve(reader, writer):
            # An unclosed writer fails when it is collected after the loop.
            with (
                contextlib.closing(writer),
                contextlib.suppress(
                    ConnectionError, asyncio.IncompleteReadError
                ),
            ):
                await script(reader, writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        async with server:
            return await asyncio.wait_for(work(f'{host}:{port}'), 5)

    return asyncio.run(run())


async def exchange(address, req=None):
    conn = await connection.HttpConnection.open(address, 1.0)
    head = await conn.send(req or request())
    return conn, head, await conn.read_all(10_000)


async def read_request(reader):
    await reader.readuntil(b'\r\n\r\n')


def respond_with(*pieces, reset=False):
    async def script(reader, writer):
        await read_request(reader)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.005)
        if reset:
            sock = writer.get_extra_info('socket')
            no_linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
            writer.transport.abort()

    return script


def test_connection_is_reusable_after_complete_response():
    """Guards against opening a connection for each call."""

    async def script(reader, writer):
        for _ in range(2):
            await read_request(reader)
            writer.write(answer(extra=b'Keep-Alive: timeout=3\r\n'))

    async def work(address):
        conn, head, body = await exchange(address)
        assert (head.status, body) == (200, b'whole')
        assert conn.is_usable
        assert conn.idle_timeout_s == 3
        assert (await conn.send(request())).status == 200

    run_with_server(script, work)


def test_response_to_an_earlier_request_is_skipped():
    """Guards against a late response that reaches another caller."""

    async def work(address):
        conn, _, body = await exchange(address)
        assert body == b'mine'
        assert not conn.is_usable

    late = answer(b'of somebody else', b'0000')
    run_with_server(respond_with(late, answer(b'mine')), work)
    run_with_server(respond_with(late + answer(b'mine')), work)


def test_duplicate_response_makes_connection_unusable():
    """Guards against taking a duplicate response for the next one."""

    async def work(address):
        conn, _, body = await exchange(address)
        assert body == b'whole'
        await asyncio.sleep(0.05)
        assert not conn.is_usable

    run_with_server(respond_with(answer(), answer(b'extra')), work)
    run_with_server(respond_with(answer() + answer(b'extra')), work)
    run_with_server(respond_with(answer() + b'\x00garbage'), work)


@pytest.mark.parametrize(
    'pieces',
    [
        (answer()[:-2],),
        (answer()[:20],),
        (),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho',),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'5\r\nwhole\r\n',
        ),
        (b'not HTTP at all\r\n\r\n',),
    ],
)
def test_truncated_response_is_lost_after_sending(pieces):
    """Guards against a truncated response that is taken for complete."""

    async def work(address):
        with pytest.raises(connection.ResponseLost) as caught:
            await exchange(address)
        assert caught.value.was_sent

    run_with_server(respond_with(*pieces), work)


def test_body_without_length_ends_with_the_connection():
    """Guards against waiting for ever for the end of such a body."""

    async def work(address):
        conn, _, body = await exchange(address)
        assert body == b'whole'
        assert not conn.is_usable

    run_with_server(respond_with(b'HTTP/1.1 200 OK\r\n\r\n', b'whole'), work)


def test_body_without_length_is_lost_on_reset():
    """Guards against taking a reset for the end of the body."""

    async def work(address):
        with pytest.raises(connection.ResponseLost):
            await exchange(address)

    run_with_server(
        respond_with(b'HTTP/1.1 200 OK\r\n\r\n', b'who', reset=True), work
    )


def test_early_response_does_not_truncate_the_request_body():
    """Guards against a request that is sent inside the previous body."""
    seen = []

    async def script(reader, writer):
        await read_request(reader)
        writer.write(answer(status=503))
        body = await reader.readexactly(300_000)
        seen.append(body)
        seen.append(await reader.readuntil(b'\r\n\r\n'))
        writer.write(answer())

    async def work(address):
        conn, head, _ = await exchange(address, request(body=b'x' * 300_000))
        assert head.status == 503
        assert (await conn.send(request())).status == 200

    run_with_server(script, work)
    assert seen[0] == b'x' * 300_000
    assert seen[1].startswith(b'POST /a/b?c=%2F HTTP/1.1\r\n')


def test_interim_response_is_skipped():
    """Guards against taking 100 Continue for the final response."""

    async def work(address):
        _, head, body = await exchange(address)
        assert (head.status, body) == (200, b'whole')

    run_with_server(
        respond_with(b'HTTP/1.1 100 Continue\r\n\r\n' + answer()), work
    )


@settings(max_examples=40, deadline=None)
@given(st.data())
def test_parsing_is_independent_of_segmentation(data):
    """Guards against parsing that depends on segment boundaries."""
    body = data.draw(st.binary(max_size=200))
    encoded = answer(body)
    cuts = sorted(data.draw(st.sets(st.integers(1, len(encoded) - 1))))
    pieces = [
        encoded[start:end]
        for start, end in zip([0, *cuts], [*cuts, None], strict=True)
    ]
    conn = connection.HttpConnection()

    class Transport:
        def get_extra_info(self, name):
            return self

        def setsockopt(self, *args):
            pass

        def write(self, data):
            pass

        def is_closing(self):
            return False

        def pause_reading(self):
            pass

        def resume_reading(self):
            pass

        def abort(self):
            pass

    async def work():
        conn.connection_made(Transport())
        send = asyncio.create_task(conn.send(request()))
        await asyncio.sleep(0)
        for piece in pieces:
            conn.data_received(piece)
        assert (await send).status == 200
        assert await conn.read_all(1_000) == body
        assert conn.is_usable

    asyncio.run(work())


def test_refused_connection_raises_connect_failed():
    """Guards against counting a call as sent to a target that is down."""

    async def work():
        with pytest.raises(connection.ConnectFailed):
            await connection.HttpConnection.open('127.0.0.1:1', 0.5)

    asyncio.run(work())


def test_pool_does_not_share_connections_between_incarnations():
    """Guards against calls to a target that took over an address."""

    async def script(reader, writer):
        while True:
            await read_request(reader)
            writer.write(answer())

    async def work(address):
        connections = pool.ConnectionPool()
        conn = await connections.acquire(('a', 1), address, 9.0)
        await conn.send(request())
        await conn.read_all(100)
        connections.release(('a', 1), conn)
        other = await connections.acquire(('a', 2), address, 9.0)
        assert other is not conn
        assert await connections.acquire(('a', 1), address, 9.0) is conn
        connections.release(('a', 1), conn)
        connections.keep_only({('a', 2)})
        assert not conn.is_usable
        conn.close()
        other.close()

    run_with_server(script, work)
