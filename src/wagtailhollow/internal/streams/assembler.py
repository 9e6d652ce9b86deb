"""Puts the frames of one streamed answer back together.

A frame belongs to one attempt and has a byte offset. Frames of other
attempts and repeated bytes are dropped; a gap means that frames were lost and
the stream has to be resumed at :attr:`StreamAssembler.offset`.
"""

from __future__ import annotations

from ..wire.gen import ttypes


class StreamGap(Exception):
    """Bytes are missing between the last frame and this one."""


class StreamAssembler:
    """Position in one answer and the checks that it is whole.

    :ivar attempt: the only attempt whose frames count.
    :ivar offset: bytes received so far, without a gap.
    """

    def __init__(self, attempt: int) -> None:
        self.attempt = attempt
        self.offset = 0

    def restart(self, attempt: int) -> None:
        """Go on with the frames of another attempt, at the same offset."""
        self.attempt = attempt

    def accept(self, chunk: ttypes.Chunk) -> bytes:
        """Return the new bytes in *chunk*, which may be none.

        :raises StreamGap: bytes before the chunk are missing.
        """
        if chunk.attempt != self.attempt:
            return b''
        if chunk.offset > self.offset:
            raise StreamGap(
                f'expected offset {self.offset}, got {chunk.offset}'
            )
        fresh = chunk.data[self.offset - chunk.offset :]
        self.offset += len(fresh)
        return fresh

    def is_complete(self, end: ttypes.End) -> bool:
        """Return whether *end* ends this answer and no byte is missing."""
        return end.attempt == self.attempt and end.total_bytes == self.offset
