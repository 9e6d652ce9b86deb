"""Compact forms of maps and counts in messages.

A row of experts is its length and one byte for each expert; a service has at
most 256 experts in a layer.
"""

from __future__ import annotations

import struct
from collections.abc import Sequence

from .model import Layers

MAX_BYTE = 255
_SCALE = struct.Struct('<f')


def pack_rank(layers: Layers) -> bytes:
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


def pack_map(ranks: Sequence[Layers]) -> bytes:
    """Return the experts of all ranks as bytes, with their number."""
    return bytes((len(ranks),)) + b''.join(map(pack_rank, ranks))


def unpack_map(data: bytes) -> list[list[list[int]]]:
    """Return the experts by rank and layer; raises ValueError."""
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
