"""Dispatches answer frames from all connections to the waiting calls."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from ..wire import connection
from ..wire.gen import ttypes

AnswerFrame = ttypes.ResponseHead | ttypes.Chunk | ttypes.End | ttypes.Abort


class ConnectionClosed:
    """Queued for a call when its connection was closed."""


CONNECTION_CLOSED = ConnectionClosed()


class IdleTimeout:
    """Queued for a call when no frame arrived within the time-out."""


IDLE_TIMEOUT = IdleTimeout()


class IncomingAnswers:
    """Queues of answer frames, indexed by call and attempt.

    The queues have no limit of their own, since the flow-control window that
    the call granted bounds their size.
    """

    def __init__(self, handlers: connection.Handlers) -> None:
        self._queues: dict[
            tuple[str, int], tuple[connection.PeerConnection, asyncio.Queue]
        ] = {}
        for message_type in (
            ttypes.ResponseHead,
            ttypes.Chunk,
            ttypes.End,
            ttypes.Abort,
        ):
            handlers.on_one_way(message_type)(self._enqueue)
        handlers.close_callbacks.append(self._connection_closed)

    @contextlib.contextmanager
    def expect(
        self, conn: connection.PeerConnection, call_id: str, attempt: int
    ) -> Iterator[asyncio.Queue[AnswerFrame | ConnectionClosed]]:
        """Queue the frames of one attempt until the context is left."""
        queue: asyncio.Queue[AnswerFrame | ConnectionClosed] = asyncio.Queue()
        self._queues[call_id, attempt] = (conn, queue)
        try:
            yield queue
        finally:
            del self._queues[call_id, attempt]

    def _enqueue(
        self, conn: connection.PeerConnection, message: AnswerFrame
    ) -> None:
        entry = self._queues.get((message.call_id, message.attempt))
        if entry is not None and entry[0] is conn:
            entry[1].put_nowait(message)

    def _connection_closed(self, conn: connection.PeerConnection) -> None:
        for owner, queue in self._queues.values():
            if owner is conn:
                queue.put_nowait(CONNECTION_CLOSED)
