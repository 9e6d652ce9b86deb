"""Calls to one address over a few kept connections."""

from __future__ import annotations

import asyncio

from . import connection


class HttpClient:
    """Sends requests to one address; none is sent twice."""

    def __init__(
        self, address: str, connect_timeout_s: float, max_idle: int
    ) -> None:
        """Create a client.

        :param max_idle: idle connections that are kept.
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
    ) -> tuple[int, bytes]:
        """Send a request, with a JSON body if any; return status and answer.

        :param timeout_s: time for the answer, once connected.
        :param max_bytes: longest answer.
        :raises ConnectFailed: nothing was sent.
        :raises ResponseLost: there is no whole answer.
        :raises TimeoutError: there is no whole answer yet.
        """
        rows = [(b'Host', self._address.encode())]
        if body:
            rows.append((b'Content-Type', b'application/json'))
            rows.append((b'Content-Length', str(len(body)).encode()))
        head = connection.request_head(method, path.encode(), rows)
        conn = await self._connection()
        try:
            async with asyncio.timeout(timeout_s):
                found = await conn.send(connection.Request(head, body))
                return found.status, await conn.read_all(max_bytes)
        finally:
            if conn.is_usable and len(self._idle) < self._max_idle:
                self._idle.append(conn)
            else:
                conn.close()

    def set_address(self, address: str) -> None:
        """Use another address from now on."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _connection(self) -> connection.HttpConnection:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable:
                return conn
        return await connection.HttpConnection.open(
            self._address, self._connect_timeout_s
        )
