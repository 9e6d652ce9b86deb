"""Reassembles the frames of a streamed answer.

Each frame belongs to an attempt and has a byte offset. Frames of other
attempts and repeated bytes are dropped. A gap in the offsets means that frames
were lost and that the stream has to be resumed at
:attr:`StreamAssembler.offset`.
"""

from __future__ import annotations

from ..wire.gen import ttypes


class StreamGap(Exception):
    """Bytes are missing between the previous frame and this one."""


class StreamAssembler:
    """Checks that the frames of an answer are received without a gap.

    :ivar attempt: the attempt whose frames are accepted.
    :ivar offset: number of bytes received so far without a gap.
    """

    def __init__(self, attempt: int) -> None:
        self.attempt = attempt
        self.offset = 0

    def restart(self, attempt: int) -> None:
        """Accept frames of another attempt from now on, at the same offset."""
        self.attempt = attempt

    def accept(self, chunk: ttypes.Chunk) -> bytes:
        """Return the bytes of *chunk* that were not received before.

        :raises StreamGap: bytes before the chunk are missing.
        """
        if chunk.attempt != self.attempt:
            return b''
        if chunk.offset > self.offset:
            raise StreamGap(
                f'bytes of the stream are missing: expected offset '
                f'{self.offset}, got {chunk.offset}'
            )
        new_data = chunk.data[self.offset - chunk.offset :]
        self.offset += len(new_data)
        return new_data

    def is_complete(self, end: ttypes.End) -> bool:
        """Return whether the answer ends with *end* and no byte is missing."""
        return end.attempt == self.attempt and end.total_bytes == self.offset
