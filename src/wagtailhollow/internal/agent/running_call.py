"""State of a call in progress and the flow control of its answer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from ... import errors
from ..wire import connection
from ..wire.gen import ttypes
from .backends import registry

MAX_CHUNK_BYTES = 16 * 1024
"""Answers are sent in small chunks, so that no call blocks the others on its
connection for long."""


class RunningCall:
    """A call in progress, which sends its answer within the granted credit.

    Once the connection of a claimed call has closed, its answer is read
    without credit, to be recorded.

    :ivar slot: its slot in the admission control; None if another attempt of
        the call holds it.
    :ivar epoch: the epoch of the ramp in which the call started.
    :ivar offset: offset of the next byte to be sent.
    :ivar was_not_run: whether the call was aborted because the target
        certainly did not start it.
    """

    def __init__(
        self,
        conn: connection.PeerConnection,
        message: ttypes.Dispatch | ttypes.Resume,
        slot: int | None,
        epoch: int,
    ) -> None:
        self.conn = conn
        self.call_id = message.call_id
        self.attempt = message.attempt
        self.is_claimed = getattr(message, 'claim', None) is not None
        self.was_not_run = False
        self.task: asyncio.Task[None] | None = None
        self.slot = slot
        self.epoch = epoch
        self.offset = 0
        self.is_stream = False
        self.is_detached = False
        self._has_started = False
        self._is_cancelled = False
        self._credit = message.window_bytes
        self._credit_added = asyncio.Event()

    def send_head(self, answer: registry.BackendAnswer) -> None:
        """Send status and headers."""
        self.is_stream = answer.is_stream
        self._post(
            ttypes.ResponseHead(
                self.call_id,
                self.attempt,
                answer.status,
                dict(answer.headers),
            )
        )

    async def send_body(
        self,
        answer: registry.BackendAnswer,
        record: Callable[[bytes], None] | None,
    ) -> None:
        """Send the body at the pace that the credit and the socket allow.

        :param record: called with each chunk of the body, if given. A claimed
            call is read to its end even if the entry has disconnected.
        """
        async for data in answer.chunks:
            if record is not None:
                record(data)
            for start in range(0, len(data), MAX_CHUNK_BYTES):
                await self._send(data[start : start + MAX_CHUNK_BYTES])

    def send_end(self) -> None:
        """End the answer by a message that contains its length in bytes."""
        self._post(ttypes.End(self.call_id, self.attempt, self.offset))

    async def _send(self, data: bytes) -> None:
        while self._credit <= 0 and not self._is_only_recorded():
            self._credit_added.clear()
            await self._credit_added.wait()
        self._credit -= len(data)
        self._post(ttypes.Chunk(self.call_id, self.attempt, self.offset, data))
        self.offset += len(data)
        if self.conn.is_congested:
            with contextlib.suppress(connection.ConnectionLost):
                await self.conn.drain()

    def _is_only_recorded(self) -> bool:
        """Return whether the answer is read only to be recorded."""
        return self.is_claimed and not self.conn.is_open

    def _post(self, message) -> None:
        with contextlib.suppress(connection.ConnectionLost):
            self.conn.send_nowait(message)

    def add_credit(self, count: int) -> None:
        """Increase the number of bytes that may be sent by *count*."""
        self._credit += max(0, count)
        self._credit_added.set()

    def abort(self, kind: errors.ErrorKind, message: str) -> None:
        """Tell the entry that the call failed or was cancelled."""
        if kind is errors.ErrorKind.NO_TARGET:
            self.was_not_run = True
        if not self.is_detached:
            self._post(
                ttypes.Abort(self.call_id, self.attempt, kind.value, message)
            )

    def begin(self) -> None:
        """Mark the task as running; raise CancelledError if cancelled.

        A task that is cancelled before its first step never enters its
        ``try`` block and skips the clean-up, so until then a cancellation is
        only stored.
        """
        self._has_started = True
        if self._is_cancelled:
            raise asyncio.CancelledError

    def cancel(self) -> None:
        """Cancel the task of the call."""
        self._is_cancelled = True
        if self._has_started and self.task is not None:
            self.task.cancel()

    def connection_closed(self) -> None:
        """Wake a call that waits for credit.

        A claimed call goes on without credit, so that its answer is recorded;
        any other waits again until it is resumed or cancelled.
        """
        self._credit_added.set()

    async def detach(self) -> None:
        """Stop without sending an Abort, as a later attempt takes over."""
        self.is_detached = True
        self.cancel()
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)
