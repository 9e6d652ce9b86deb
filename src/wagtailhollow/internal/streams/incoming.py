"""Routes answer frames from all connections to the calls that wait."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from ..wire import connection
from ..wire.gen import ttypes

AnswerFrame = ttypes.ResponseHead | ttypes.Chunk | ttypes.End | ttypes.Abort


class ConnectionClosed:
    """Put into a call's queue when the connection it ran over ended."""


CONNECTION_CLOSED = ConnectionClosed()


class IdleTimeout:
    """Put into a call's queue when no frame came for too long."""


IDLE_TIMEOUT = IdleTimeout()


class IncomingAnswers:
    """Queues of answer frames by call and attempt.

    A queue is bounded by the flow-control window that the call granted, so
    it needs no limit of its own.
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
            handlers.on_notice(message_type)(self._take)
        handlers.closed.append(self._connection_closed)

    @contextlib.contextmanager
    def expect(
        self, conn: connection.PeerConnection, call_id: str, attempt: int
    ) -> Iterator[asyncio.Queue[AnswerFrame | ConnectionClosed]]:
        """Collect the frames of one attempt while the context lasts."""
        queue: asyncio.Queue[AnswerFrame | ConnectionClosed] = asyncio.Queue()
        self._queues[call_id, attempt] = (conn, queue)
        try:
            yield queue
        finally:
            del self._queues[call_id, attempt]

    def _take(
        self, conn: connection.PeerConnection, message: AnswerFrame
    ) -> None:
        entry = self._queues.get((message.call_id, message.attempt))
        if entry is not None and entry[0] is conn:
            entry[1].put_nowait(message)

    def _connection_closed(self, conn: connection.PeerConnection) -> None:
        for owner, queue in self._queues.values():
            if owner is conn:
                queue.put_nowait(CONNECTION_CLOSED)
