"""Frames: a 4-byte big-endian length and one Envelope in compact protocol."""

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
"""Bound while the peer is unproven, so that it cannot make us buffer more."""

_LENGTH = struct.Struct('>I')
LENGTH_BYTES = _LENGTH.size

_FIELD_OF_TYPE: dict[type, str] = {
    spec[3][0]: spec[2] for spec in ttypes.Body.thrift_spec if spec is not None
}

# Fields marked optional in the IDL; the generated code does not record it.
_DECODER = TCompactProtocol.TCompactProtocolAccelerated(
    TTransport.TMemoryBuffer()
)
_ENVELOPE = [ttypes.Envelope, ttypes.Envelope.thrift_spec]
_ALL_MESSAGES = operator.attrgetter(*ttypes.Body.__slots__)

_OPTIONAL: dict[type, frozenset[str]] = {
    ttypes.Heartbeat: frozenset({'load', 'echo_sent_at_ms', 'group_summary'}),
    ttypes.Dispatch: frozenset({'claim'}),
    ttypes.DispatchReply: frozenset({'kind', 'message', 'load'}),
    ttypes.CallOutcome: frozenset({'status', 'headers', 'body'}),
    ttypes.BlockGrant: frozenset({'kind'}),
    ttypes.RankState: frozenset({'kind'}),
    ttypes.StatusRequest: frozenset({'argument'}),
}

_REQUIRED: dict[type, tuple[str, ...]] = {
    cls: tuple(
        name
        for name in cls.__slots__
        if name not in _OPTIONAL.get(cls, frozenset())
    )
    for cls in _FIELD_OF_TYPE
}

Message = Any


@dataclasses.dataclass(frozen=True, slots=True)
class Received:
    """One decoded frame.

    :ivar request_id: correlates a reply with its request; 0 is one-way.
    :ivar is_reply: whether the message answers a request of the receiver.
    :ivar message: an instance of one of the structs in the IDL's Body union.
    """

    request_id: int
    is_reply: bool
    message: Message


def encode(
    message: Message, request_id: int = 0, is_reply: bool = False
) -> bytes:
    """Return the frame for *message*, length prefix included.

    :raises Refusal: BAD_FRAME if the frame would exceed MAX_FRAME_BYTES.
    """
    body = ttypes.Body()
    setattr(body, _FIELD_OF_TYPE[type(message)], message)
    envelope = ttypes.Envelope(request_id, is_reply, body)
    payload = fastbinary.encode_compact(envelope, _ENVELOPE)
    if len(payload) > MAX_FRAME_BYTES:
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME,
            f'a frame of {len(payload)} bytes exceeds the limit of '
            f'{MAX_FRAME_BYTES}',
        )
    return _LENGTH.pack(len(payload)) + payload


def decode(payload: bytes) -> Received:
    """Return the message in *payload*, which is a frame without its length.

    :raises Refusal: BAD_FRAME for anything that is not one whole message.
    """
    # One protocol object for all frames: creating one takes a fifth of the
    # decoding of a token, and the C decoder keeps no state in it.
    _DECODER.trans = TTransport.TMemoryBuffer(payload)
    envelope = ttypes.Envelope()
    try:
        envelope.read(_DECODER)
    except Exception as exc:
        # The C decoder raises EOFError, TypeError, UnicodeDecodeError and
        # others for malformed input; all of them mean the same here.
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME, f'a frame cannot be decoded: {exc!r}'
        ) from exc
    return Received(
        envelope.request_id or 0,
        bool(envelope.is_reply),
        _message_of(envelope.body),
    )


def _message_of(body: ttypes.Body | None) -> Message:
    # One call for all fields of the union: this runs for every token.
    values = _ALL_MESSAGES(body) if body is not None else ()
    found = [value for value in values if value is not None]
    if len(found) != 1:
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME,
            f'an envelope holds {len(found)} messages instead of one',
        )
    message = found[0]
    for name in _REQUIRED[type(message)]:
        if getattr(message, name) is None:
            raise errors.Refusal(
                errors.ErrorKind.BAD_FRAME,
                f'{type(message).__name__} lacks the field {name}',
            )
    return message


class FrameSplitter:
    """Cuts received bytes into frames.

    Reading what has arrived and cutting it costs one suspension for many
    frames; reading length and payload by themselves costs two for each.
    """

    def __init__(self) -> None:
        self._rest = b''

    def feed(self, data: bytes) -> list[bytes]:
        """Return the whole frames in *data*, without their lengths.

        :raises Refusal: BAD_FRAME if an announced length is over the limit.
        """
        data = self._rest + data if self._rest else data
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
        self._rest = data[start:]
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
    """Read one frame and return it without its length.

    :raises Refusal: BAD_FRAME if the announced length is over the limit.
    :raises asyncio.IncompleteReadError: if the connection ends.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    _check_length(length, max_bytes)
    return await reader.readexactly(length)
