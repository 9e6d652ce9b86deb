"""Requests that arrive while the server of a daemon stops.

The load pattern: callers keep opening connections and sending requests until
the listening socket is closed, as during a planned stop under load. A request
counts as accepted once its connection is established.
"""

from __future__ import annotations

import asyncio
import socket

import pytest
from starlette import routing

from standins import deployment
from wagtailhollow.internal.daemon import http
from wagtailhollow.internal.entry import http_protocol

REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
STOP_TICK_S = 0.15
"""Longer than the server's check whether it should stop, 0.1 s."""


async def answer_ok(scope, receive, send):
    """ASGI application that answers 200."""
    headers = [(b'content-length', b'2')]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': b'ok'})


class Mounted:
    """ASGI application as a class, which starlette mounts unchanged."""

    async def __call__(self, scope, receive, send):
        await answer_ok(scope, receive, send)


async def started_server(protocol=None, **limits):
    port = deployment.free_ports(1)[0]
    protocol = protocol or http_protocol.bounded_protocol(
        http_protocol.ConnectionLimits(**limits), answer_ok
    )
    server = http.HttpServer(
        [routing.Mount('/', Mounted())],
        f'127.0.0.1:{port}',
        protocol=protocol,
    )
    await server.start()
    return server, port


async def read_all(sock):
    """Return all bytes until the server closes the connection."""
    loop = asyncio.get_running_loop()
    data = b''
    while True:
        try:
            piece = await loop.sock_recv(sock, 65536)
        except ConnectionResetError:
            return data + b'(reset)'
        if not piece:
            return data
        data += piece


async def connect(port):
    sock = socket.create_connection(('127.0.0.1', port))
    sock.setblocking(False)
    await asyncio.sleep(0.05)
    return sock


def run(scenario):
    async def go():
        async with asyncio.timeout(10):
            await scenario()

    asyncio.run(go())


def assert_answered(data):
    assert data.startswith(b'HTTP/1.1 200 '), data
    assert data.endswith(b'\r\n\r\nok'), data


@pytest.mark.parametrize('already_sent', [0, 10])
def test_request_on_a_new_connection_is_answered(already_sent):
    """Guards against closing a connection before its first request is read."""

    async def scenario():
        server, port = await started_server()
        sock = await connect(port)
        sock.send(REQUEST[:already_sent])
        await asyncio.sleep(0.02)
        stop = asyncio.create_task(server.stop())
        await asyncio.sleep(STOP_TICK_S)
        sock.send(REQUEST[already_sent:])
        assert_answered(await read_all(sock))
        sock.close()
        await stop

    run(scenario)


def test_request_that_is_received_but_not_read_is_answered():
    """Guards against closing a kept connection with a request in its buffer.

    Closing it then sends a reset, and the caller cannot tell whether the
    request has run.
    """
    sockets = []

    async def scenario():
        limits = http_protocol.ConnectionLimits()
        bounded = http_protocol.bounded_protocol(limits, answer_ok)

        class SendsAtShutdown(bounded):
            def shutdown(self):
                sockets[0].send(REQUEST)
                super().shutdown()

        server, port = await started_server(SendsAtShutdown)
        sock = await connect(port)
        sockets.append(sock)
        sock.send(REQUEST)
        loop = asyncio.get_running_loop()
        first = b''
        while not first.endswith(b'ok'):
            first += await loop.sock_recv(sock, 65536)
        stop = asyncio.create_task(server.stop())
        assert_answered(await read_all(sock))
        sock.close()
        await stop

    run(scenario)


def test_connections_in_the_accept_queue_are_answered():
    """Guards against resetting connections that wait to be accepted."""

    async def scenario():
        server, port = await started_server()
        shutdown = server._server.shutdown
        callers = []

        async def shutdown_after_connections(sockets=None):
            # The event loop does not run before the listening socket is
            # closed, so the server cannot have accepted these.
            for _ in range(20):
                sock = socket.create_connection(('127.0.0.1', port))
                sock.send(REQUEST)
                sock.setblocking(False)
                callers.append(sock)
            await shutdown(sockets)

        server._server.shutdown = shutdown_after_connections
        stop = asyncio.create_task(server.stop())
        while len(callers) < 20:
            await asyncio.sleep(0.01)
            assert not stop.done()
        for sock in callers:
            assert_answered(await read_all(sock))
            sock.close()
        await stop

    run(scenario)


def test_idle_connections_are_closed_at_once():
    """Guards against a stop that waits for callers without a request."""

    async def scenario():
        server, port = await started_server()
        loop = asyncio.get_running_loop()
        sock = await connect(port)
        sock.send(REQUEST)
        assert_answered(await loop.sock_recv(sock, 65536))
        start_s = loop.time()
        await server.stop()
        assert loop.time() - start_s < 0.6
        assert await read_all(sock) == b''
        sock.close()

    run(scenario)


def test_silent_new_connections_are_closed():
    """Guards against a stop held up by connections that send nothing."""

    async def scenario():
        server, port = await started_server()
        sock = await connect(port)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await server.stop()
        assert loop.time() - start_s < 2.0
        sock.close()

    run(scenario)
