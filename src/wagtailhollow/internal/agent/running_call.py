"""One call in progress and the flow control of its answer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from ... import errors
from ..wire import connection
from ..wire.gen import ttypes
from .backends import registry

MAX_CHUNK_BYTES = 16 * 1024
"""Pieces are small, so that no call occupies a connection for long."""


class RunningCall:
    """One call in progress and the flow control of its answer.

    :ivar slot: its place at the gate; None while another attempt has it.
    :ivar epoch: the ramp's epoch in which it started.
    :ivar offset: position of the next byte to be sent.
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
        self.never_reached_target = False
        self.task: asyncio.Task[None] | None = None
        self.slot = slot
        self.epoch = epoch
        self.offset = 0
        self.is_stream = False
        self.is_detached = False
        self._has_begun = False
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
        """Send the body as credit and the socket allow.

        :param record: called with each piece of the body, if given; then
            the whole body is read even if the entry is gone.
        """
        async for data in answer.chunks:
            if record is not None:
                record(data)
            for start in range(0, len(data), MAX_CHUNK_BYTES):
                await self._send(data[start : start + MAX_CHUNK_BYTES])

    def send_end(self) -> None:
        """Send the number of bytes, which ends the answer."""
        self._post(ttypes.End(self.call_id, self.attempt, self.offset))

    async def _send(self, data: bytes) -> None:
        while self._credit <= 0 and not self._may_skip():
            self._credit_added.clear()
            await self._credit_added.wait()
        self._credit -= len(data)
        self._post(ttypes.Chunk(self.call_id, self.attempt, self.offset, data))
        self.offset += len(data)
        if self.conn.is_congested:
            with contextlib.suppress(connection.ConnectionLost):
                await self.conn.drain()

    def _may_skip(self) -> bool:
        """Return whether the answer is read on for the record only."""
        return self.is_claimed and not self.conn.is_open

    def _post(self, message) -> None:
        with contextlib.suppress(connection.ConnectionLost):
            self.conn.post(message)

    def add_credit(self, count: int) -> None:
        """Allow *count* more bytes to be sent."""
        self._credit += max(0, count)
        self._credit_added.set()

    def abort(self, kind: errors.ErrorKind, message: str) -> None:
        """Tell the entry that the answer ends here."""
        if kind is errors.ErrorKind.NO_TARGET:
            self.never_reached_target = True
        if not self.is_detached:
            self._post(
                ttypes.Abort(self.call_id, self.attempt, kind.value, message)
            )

    def begin(self) -> None:
        """Note that the task runs; raises CancelledError if it must not.

        A task that is cancelled before its first step would skip its own
        clean-up, so until then a cancellation is only noted.
        """
        self._has_begun = True
        if self._is_cancelled:
            raise asyncio.CancelledError

    def cancel(self) -> None:
        """Stop the call."""
        self._is_cancelled = True
        if self._has_begun and self.task is not None:
            self.task.cancel()

    def connection_closed(self) -> None:
        """Wake a claimed call that waits for credit; none will come."""
        self._credit_added.set()

    async def detach(self) -> None:
        """Stop relaying without an Abort; a newer attempt takes over."""
        self.is_detached = True
        self.cancel()
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)
