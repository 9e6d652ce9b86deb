"""Bytes of targets: whose answer it is, whether it is whole, what was sent."""

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


def play(script, work):
    """Run *work* against a server whose connections follow *script*."""

    async def go():
        async def serve(reader, writer):
            with contextlib.suppress(ConnectionError):
                await script(reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        async with server:
            return await asyncio.wait_for(work(f'{host}:{port}'), 5)

    return asyncio.run(go())


async def exchange(address, req=None):
    conn = await connection.HttpConnection.open(address, 1.0)
    head = await conn.send(req or request())
    return conn, head, await conn.read_all(10_000)


async def read_request(reader):
    await reader.readuntil(b'\r\n\r\n')


def sending(*pieces, reset=False):
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


def test_whole_answer_leaves_the_connection_usable():
    """Guards against a new connection for each call."""

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

    play(script, work)


def test_answer_to_an_earlier_request_is_skipped():
    """Guards against a late answer that reaches another caller."""

    async def work(address):
        conn, _, body = await exchange(address)
        assert body == b'mine'
        assert not conn.is_usable

    late = answer(b'of somebody else', b'0000')
    play(sending(late, answer(b'mine')), work)
    play(sending(late + answer(b'mine')), work)


def test_second_answer_ends_the_connection():
    """Guards against an extra answer taken for the next one."""

    async def work(address):
        conn, _, body = await exchange(address)
        assert body == b'whole'
        await asyncio.sleep(0.05)
        assert not conn.is_usable

    play(sending(answer(), answer(b'extra')), work)
    play(sending(answer() + answer(b'extra')), work)
    play(sending(answer() + b'\x00garbage'), work)


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
def test_cut_answer_is_lost_and_may_have_run(pieces):
    """Guards against a cut answer that looks complete."""

    async def work(address):
        with pytest.raises(connection.ResponseLost) as caught:
            await exchange(address)
        assert caught.value.was_sent

    play(sending(*pieces), work)


def test_answer_without_a_length_ends_with_its_connection():
    """Guards against an unframed answer that never ends."""

    async def work(address):
        conn, _, body = await exchange(address)
        assert body == b'whole'
        assert not conn.is_usable

    play(sending(b'HTTP/1.1 200 OK\r\n\r\n', b'whole'), work)


def test_unframed_answer_that_is_reset_is_lost():
    """Guards against a reset taken for the end of an unframed answer."""

    async def work(address):
        with pytest.raises(connection.ResponseLost):
            await exchange(address)

    play(sending(b'HTTP/1.1 200 OK\r\n\r\n', b'who', reset=True), work)


def test_early_answer_does_not_mix_with_the_rest_of_the_body():
    """Guards against a next request inside the body of the last one."""
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

    play(script, work)
    assert seen[0] == b'x' * 300_000
    assert seen[1].startswith(b'POST /a/b?c=%2F HTTP/1.1\r\n')


def test_interim_answer_is_not_the_answer():
    """Guards against 100 Continue taken for the result."""

    async def work(address):
        _, head, body = await exchange(address)
        assert (head.status, body) == (200, b'whole')

    play(sending(b'HTTP/1.1 100 Continue\r\n\r\n' + answer()), work)


@settings(max_examples=40, deadline=None)
@given(st.data())
def test_answer_is_the_same_however_it_is_split(data):
    """Guards against a parser that depends on packet bounds."""
    body = data.draw(st.binary(max_size=200))
    whole = answer(body)
    cuts = sorted(data.draw(st.sets(st.integers(1, len(whole) - 1))))
    pieces = [
        whole[start:end]
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


def test_refused_connection_sends_nothing():
    """Guards against a call counted as sent to a target that is down."""

    async def work():
        with pytest.raises(connection.ConnectFailed):
            await connection.HttpConnection.open('127.0.0.1:1', 0.5)

    asyncio.run(work())


def test_pool_does_not_reuse_what_another_incarnation_had():
    """Guards against a call to a service that took over an address."""

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

    play(script, work)
