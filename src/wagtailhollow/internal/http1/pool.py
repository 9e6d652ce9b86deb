"""Kept connections to targets, by incarnation."""

from __future__ import annotations

import asyncio

from . import connection

Incarnation = tuple[str, int]

CONNECT_TIMEOUT_S = 0.3
"""A target's host answers in 3 ms; a dropped opening packet is sent again
after a second or more, which is later than another target would answer."""

DEFAULT_IDLE_S = 4.0
"""Idle time after which a connection is not used again if the peer named no
time-out; servers commonly allow 5 s."""

IDLE_MARGIN_S = 0.5
"""A request must not cross the close of an idle connection."""


class ConnectionPool:
    """Idle connections to the targets of one entry."""

    def __init__(self) -> None:
        self._idle: dict[Incarnation, list[connection.HttpConnection]] = {}

    async def acquire(
        self, incarnation: Incarnation, address: str, max_idle_s: float
    ) -> connection.HttpConnection:
        """Return a connection that no other call uses.

        :param max_idle_s: idle connections older than this are not used.
        :raises ConnectFailed: nothing was sent.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(incarnation, [])
        while idle:
            conn = idle.pop()
            limit_s = min(max_idle_s, _idle_limit_s(conn))
            if conn.is_usable and now_s - conn.idle_since_s < limit_s:
                return conn
            conn.close()
        return await connection.HttpConnection.open(address, CONNECT_TIMEOUT_S)

    def release(
        self, incarnation: Incarnation, conn: connection.HttpConnection
    ) -> None:
        """Keep a connection whose answer was read to its end."""
        if conn.is_usable:
            self._idle.setdefault(incarnation, []).append(conn)
        else:
            conn.close()

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Close the idle connections to all other incarnations."""
        for incarnation in self._idle.keys() - incarnations:
            for conn in self._idle.pop(incarnation):
                conn.close()


def _idle_limit_s(conn: connection.HttpConnection) -> float:
    if conn.idle_timeout_s is None:
        return DEFAULT_IDLE_S
    return conn.idle_timeout_s - IDLE_MARGIN_S
