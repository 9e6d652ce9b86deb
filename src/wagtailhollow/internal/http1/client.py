"""Client for one address with a small pool of keep-alive connections."""

from __future__ import annotations

import asyncio

from . import connection


class HttpClient:
    """Sends requests to one address and never retries them."""

    def __init__(
        self, address: str, connect_timeout_s: float, max_idle: int
    ) -> None:
        """Create a client.

        :param max_idle: maximum number of idle connections.
        """
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._max_idle = max_idle
        self._idle: list[connection.HttpConnection] = []

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        max_bytes: int,
        body: bytes = b'',
    ) -> tuple[connection.Head, bytes]:
        """Send a request and return the head and body of the response.

        :param timeout_s: time limit for the response, once connected.
        :param max_bytes: maximum size of the response body.
        :param body: JSON text, or empty.
        :raises ConnectFailed: nothing was sent.
        :raises ResponseLost: the response was incomplete or too large.
        :raises TimeoutError: no complete response within *timeout_s*.
        """
        rows = [(b'Host', self._address.encode())]
        if body:
            rows.append((b'Content-Type', b'application/json'))
            rows.append((b'Content-Length', str(len(body)).encode()))
        head = connection.request_head(method, path.encode(), rows)
        conn = await self._acquire()
        try:
            async with asyncio.timeout(timeout_s):
                response = await conn.send(connection.Request(head, body))
                return response, await conn.read_all(max_bytes)
        finally:
            if conn.is_usable and len(self._idle) < self._max_idle:
                self._idle.append(conn)
            else:
                conn.close()

    def set_address(self, address: str) -> None:
        """Connect to *address* from now on."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _acquire(self) -> connection.HttpConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable:
                return conn
        return await connection.HttpConnection.open(
            self._address, self._connect_timeout_s
        )
