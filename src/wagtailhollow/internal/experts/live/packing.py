"""Compact forms of maps and counts in messages.

A row of experts is its length and one byte for each expert; a service has at
most 256 experts in a layer.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Sequence

from .model import ExpertsByLayer

MAX_BYTE = 255
_SCALE = struct.Struct('<f')


def pack_rank(layers: ExpertsByLayer) -> bytes:
    """Return the experts of one rank as bytes."""
    return b''.join(bytes((len(row), *row)) for row in layers)


def unpack_rank(data: bytes) -> list[list[int]]:
    """Return the experts of one rank; raises ValueError."""
    rows = []
    position = 0
    while position < len(data):
        end = position + 1 + data[position]
        if end > len(data):
            raise ValueError('a row of experts is cut')
        rows.append(list(data[position + 1 : end]))
        position = end
    return rows


def pack_map(ranks: Sequence[ExpertsByLayer]) -> bytes:
    """Return the experts of all ranks as bytes, with their number."""
    return join_ranks([pack_rank(layers) for layers in ranks])


def join_ranks(ranks: Sequence[bytes]) -> bytes:
    """Return a map of ranks that are packed already.

    Compressed: 32 ranks with 12 layers have 2.3 KB, and a message to each of
    them has to pass a link of 4 Mbit/s.
    """
    return zlib.compress(bytes((len(ranks),)) + b''.join(ranks))


def unpack_map(data: bytes) -> list[list[list[int]]]:
    """Return the experts by rank and layer; raises ValueError."""
    try:
        data = zlib.decompress(data)
    except zlib.error as exc:
        raise ValueError(f'not a packed map: {exc}') from exc
    if not data or not data[0]:
        raise ValueError('a map has no ranks')
    rows = unpack_rank(data[1:])
    layers, rest = divmod(len(rows), data[0])
    if rest:
        raise ValueError('the ranks of a map have unequal layers')
    return [
        rows[start : start + layers] for start in range(0, len(rows), layers)
    ]


def pack_counts(counts: Sequence[int]) -> bytes:
    """Return counts as bytes after a scale; exact to 1/255 of the largest."""
    scale = max(max(counts, default=0) / MAX_BYTE, 1.0)
    return _SCALE.pack(scale) + bytes(round(item / scale) for item in counts)


def unpack_counts(data: bytes) -> list[float]:
    """Return packed counts; raises ValueError."""
    if not data:
        return []
    if len(data) < _SCALE.size:
        raise ValueError('counts without a scale')
    (scale,) = _SCALE.unpack_from(data)
    return [item * scale for item in data[_SCALE.size :]]
