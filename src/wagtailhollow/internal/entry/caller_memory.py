"""Bounds the memory that requests of callers take, over all connections."""

from __future__ import annotations

import math
from typing import Protocol

REQUEST_BYTES = 4 * 1024
"""What a request takes without its lines and its body."""

LINE_BYTES = 256
"""What a header line takes beside its text, which is held twice."""

BODY_COPIES = 3
"""Memory for a byte of a body: it is held twice while it is sent, and what is
freed of large bodies is not used again at once."""

SMALL_BYTES = 32 * 1024
"""Size up to which a request may use what is kept for small ones."""

SMALL_SHARE = 0.25
"""Part of the limit that small requests may use beyond it, so that large ones
cannot keep ordinary callers out."""


def line_bytes(name: bytes, value: bytes) -> int:
    """Return what a header line takes."""
    return LINE_BYTES + 2 * (len(name) + len(value))


class Connection(Protocol):
    """A caller's connection with the memory that its requests take.

    :ivar held_bytes: memory of its requests that have not been answered.
    :ivar is_reading: whether it can be given up: it has read a part of a
        request and sent nothing of an answer.
    """

    held_bytes: int
    is_reading: bool

    def give_up(self) -> None:
        """Refuse the request that is being read; nothing of it has run."""


class CallerMemory:
    """The memory of the requests of all connections of a process.

    Past the limit the connections that hold most are given up first.

    :ivar held_bytes: memory that is held by all connections.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self._limit_bytes = limit_bytes
        self._connections: set[Connection] = set()
        self.held_bytes = 0

    def hold(self, conn: Connection, size: int) -> None:
        """Set what a connection holds; others may be given up for it."""
        self.held_bytes += size - conn.held_bytes
        conn.held_bytes = size
        if size:
            self._connections.add(conn)
        else:
            self._connections.discard(conn)
        limit = self._limit_bytes
        if size <= SMALL_BYTES:
            limit *= 1 + SMALL_SHARE
        while self.held_bytes > limit:
            largest = max(
                (item for item in self._connections if item.is_reading),
                key=lambda item: item.held_bytes,
                default=None,
            )
            if largest is None:
                return
            largest.give_up()
