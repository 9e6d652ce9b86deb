"""Compact encodings of maps and counts in messages.

The experts of a layer are encoded as a byte with their count, followed by one
byte for each; a service has at most 256 experts in a layer. The number of
ranks of a map is one byte as well.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence

from .model import ExpertsByLayer

MAX_BYTE = 255
_SCALE = struct.Struct('<f')


def pack_rank(layers: ExpertsByLayer) -> bytes:
    """Encode the experts of one rank."""
    return b''.join(bytes((len(row), *row)) for row in layers)


def unpack_rank(data: bytes) -> list[list[int]]:
    """Decode the experts of one rank; raises ValueError."""
    rows = []
    position = 0
    while position < len(data):
        end = position + 1 + data[position]
        if end > len(data):
            raise ValueError('expert map truncated: incomplete row of experts')
        rows.append(list(data[position + 1 : end]))
        position = end
    return rows


def pack_map(ranks: Sequence[ExpertsByLayer]) -> bytes:
    """Encode the experts of all ranks, preceded by the number of ranks."""
    return join_ranks([pack_rank(layers) for layers in ranks])


def join_ranks(ranks: Sequence[bytes]) -> bytes:
    """Encode a map from the encoded experts of each rank.

    The map is compressed because it takes 2.3 KB for 32 ranks with 12 layers
    and is sent to each of them over a link of 4 Mbit/s.
    """
    return zlib.compress(bytes((len(ranks),)) + b''.join(ranks))


def unpack_map(data: bytes) -> list[list[list[int]]]:
    """Decode a map into experts by rank and layer; raises ValueError."""
    try:
        data = zlib.decompress(data)
    except zlib.error as exc:
        raise ValueError(f'expert map cannot be decompressed: {exc}') from exc
    if not data or not data[0]:
        raise ValueError('expert map has no ranks')
    rows = unpack_rank(data[1:])
    layers, remainder = divmod(len(rows), data[0])
    if remainder:
        raise ValueError(
            'ranks of the expert map differ in their number of layers'
        )
    return [
        rows[start : start + layers] for start in range(0, len(rows), layers)
    ]


def pack_counts(counts: Sequence[int]) -> bytes:
    """Encode counts as a scale and one byte each.

    The resolution is 1/255 of the largest count.
    """
    scale = max(max(counts, default=0) / MAX_BYTE, 1.0)
    return _SCALE.pack(scale) + bytes(round(item / scale) for item in counts)


def unpack_counts(data: bytes) -> list[float]:
    """Decode counts; raises ValueError."""
    if not data:
        return []
    if len(data) < _SCALE.size:
        raise ValueError('activation counts truncated: incomplete scale')
    (scale,) = _SCALE.unpack_from(data)
    return [item * scale for item in data[_SCALE.size :]]
