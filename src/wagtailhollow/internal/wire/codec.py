"""Frame encoding: a 4-byte big-endian length, then an Envelope.

The Envelope is a thrift struct in the compact protocol.
"""

from __future__ import annotations

import asyncio
import dataclasses
import operator
import struct
from typing import Any

from thrift.protocol import TCompactProtocol, fastbinary
from thrift.transport import TTransport

from ... import errors
from .gen import ttypes

MAX_FRAME_BYTES = 2 * 1024 * 1024
MAX_HANDSHAKE_FRAME_BYTES = 16 * 1024
"""Frame limit before authentication; bounds the memory that an unknown peer
can make this process allocate."""

_LENGTH = struct.Struct('>I')
LENGTH_BYTES = _LENGTH.size

_BODY_FIELD_BY_TYPE: dict[type, str] = {
    spec[3][0]: spec[2] for spec in ttypes.Body.thrift_spec if spec is not None
}

# Shared by all frames: creating a protocol object takes a fifth of the time to
# decode a chunk of one token, and the C decoder keeps no state in it.
_DECODER = TCompactProtocol.TCompactProtocolAccelerated(
    TTransport.TMemoryBuffer()
)
_ENVELOPE_SPEC = [ttypes.Envelope, ttypes.Envelope.thrift_spec]
_GET_BODY_FIELDS = operator.attrgetter(*ttypes.Body.__slots__)

# Fields marked optional in the IDL; the generated code does not record that.
_OPTIONAL_FIELDS: dict[type, frozenset[str]] = {
    ttypes.Heartbeat: frozenset({'load', 'echo_sent_at_ms', 'group_summary'}),
    ttypes.Dispatch: frozenset({'claim'}),
    ttypes.DispatchReply: frozenset({'kind', 'message', 'load'}),
    ttypes.CallOutcome: frozenset({'status', 'headers', 'body'}),
    ttypes.BlockGrant: frozenset({'kind'}),
    ttypes.RankState: frozenset({'kind'}),
    ttypes.StatusRequest: frozenset({'argument'}),
}

_REQUIRED_FIELDS: dict[type, tuple[str, ...]] = {
    cls: tuple(
        name
        for name in cls.__slots__
        if name not in _OPTIONAL_FIELDS.get(cls, frozenset())
    )
    for cls in _BODY_FIELD_BY_TYPE
}

Message = Any


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """One decoded frame.

    :ivar request_id: correlates a reply with its request; 0 for a one-way
        message.
    :ivar is_reply: whether the message is the reply to a request of the
        receiver.
    :ivar message: instance of a struct from the IDL's Body union.
    """

    request_id: int
    is_reply: bool
    message: Message


def encode(
    message: Message, request_id: int = 0, is_reply: bool = False
) -> bytes:
    """Return the frame of *message*, including the length prefix.

    :raises Refusal: BAD_FRAME if the frame would exceed MAX_FRAME_BYTES.
    """
    body = ttypes.Body()
    setattr(body, _BODY_FIELD_BY_TYPE[type(message)], message)
    envelope = ttypes.Envelope(request_id, is_reply, body)
    payload = fastbinary.encode_compact(envelope, _ENVELOPE_SPEC)
    if len(payload) > MAX_FRAME_BYTES:
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME,
            f'a frame of {len(payload)} bytes exceeds the limit of '
            f'{MAX_FRAME_BYTES}',
        )
    return _LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> Received:
    """Decode *payload*, a frame without its length prefix.

    :raises Refusal: BAD_FRAME if *payload* is not exactly one valid message.
    """
    _DECODER.trans = TTransport.TMemoryBuffer(payload)
    envelope = ttypes.Envelope()
    try:
        envelope.read(_DECODER)
    except Exception as exc:
        # For malformed input the C decoder raises EOFError, TypeError,
        # UnicodeDecodeError and others.
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME, f'malformed frame: {exc!r}'
        ) from exc
    return Received(
        envelope.request_id or 0,
        bool(envelope.is_reply),
        _extract_message(envelope.body),
    )


def _extract_message(body: ttypes.Body | None) -> Message:
    # One attrgetter call for all fields, as this runs for each chunk.
    values = _GET_BODY_FIELDS(body) if body is not None else ()
    messages = [value for value in values if value is not None]
    if len(messages) != 1:
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME,
            f'an envelope has {len(messages)} messages instead of one',
        )
    message = messages[0]
    for name in _REQUIRED_FIELDS[type(message)]:
        if getattr(message, name) is None:
            raise errors.Refusal(
                errors.ErrorKind.BAD_FRAME,
                f'{type(message).__name__} lacks the field {name}',
            )
    return message


class FrameSplitter:
    """Splits a byte stream into frames.

    Reading all available bytes at once suspends the reader task once for many
    frames; reading length and payload separately suspends it twice per frame.
    """

    def __init__(self) -> None:
        self._partial_frame = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Add *data* and return the complete frames, without length prefix.

        :raises Refusal: BAD_FRAME if a length prefix exceeds the limit.
        """
        data = self._partial_frame + data if self._partial_frame else data
        frames = []
        start = 0
        while len(data) - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data, start)
            _check_length(length)
            end = start + _LENGTH.size + length
            if end > len(data):
                break
            frames.append(data[start + _LENGTH.size : end])
            start = end
        self._partial_frame = data[start:]
        return frames


def _check_length(length: int, max_bytes: int = MAX_FRAME_BYTES) -> None:
    if length > max_bytes:
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME,
            f'a frame of {length} bytes exceeds the limit of {max_bytes}',
        )


async def read_frame(
    reader: asyncio.StreamReader, max_bytes: int = MAX_FRAME_BYTES
) -> bytes:
    """Read one frame and return it without its length prefix.

    :raises Refusal: BAD_FRAME if the length prefix exceeds the limit.
    :raises asyncio.IncompleteReadError: the connection was closed.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    _check_length(length, max_bytes)
    return await reader.readexactly(length)
