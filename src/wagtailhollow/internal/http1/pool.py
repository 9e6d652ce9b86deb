"""Pool of idle connections to targets, by incarnation."""

from __future__ import annotations

import asyncio

from . import byte_budget, connection

Incarnation = tuple[str, int]

CONNECT_TIMEOUT_S = 0.3
"""A target's host accepts within 3 ms. A lost SYN is retransmitted after a
second or more, by which time another target would have responded."""

DEFAULT_IDLE_S = 4.0
"""Maximum idle time of a connection if the peer sent no Keep-Alive time-out;
servers commonly allow 5 s."""

IDLE_MARGIN_S = 0.5
"""Subtracted from the peer's time-out, so that the peer does not close an idle
connection while a request is on its way."""


class ConnectionPool:
    """Idle connections from one entry to its targets."""

    def __init__(self, budget: byte_budget.ByteBudget | None = None) -> None:
        """Create a pool.

        :param budget: bounds the bytes of all answers together.
        """
        self._budget = budget
        self._idle: dict[Incarnation, list[connection.HttpConnection]] = {}

    async def acquire(
        self, incarnation: Incarnation, address: str, max_idle_s: float
    ) -> connection.HttpConnection:
        """Return an unused connection, opening one if none is idle.

        :param max_idle_s: connections idle for longer are closed instead.
        :raises ConnectFailed: nothing was sent.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle.get(incarnation, [])
        while idle:
            conn = idle.pop()
            reuse_limit_s = min(max_idle_s, _max_idle_s(conn))
            if conn.is_usable and now_s - conn.idle_since_s < reuse_limit_s:
                return conn
            conn.close()
        return await connection.HttpConnection.open(
            address, CONNECT_TIMEOUT_S, self._budget
        )

    def release(
        self, incarnation: Incarnation, conn: connection.HttpConnection
    ) -> None:
        """Return a connection to the pool, or close it if it is unusable."""
        if conn.is_usable:
            self._idle.setdefault(incarnation, []).append(conn)
        else:
            conn.close()

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Close the idle connections to all other incarnations."""
        for incarnation in self._idle.keys() - incarnations:
            for conn in self._idle.pop(incarnation):
                conn.close()


def _max_idle_s(conn: connection.HttpConnection) -> float:
    if conn.idle_timeout_s is None:
        return DEFAULT_IDLE_S
    return conn.idle_timeout_s - IDLE_MARGIN_S
