"""Compact encodings of maps, of changes to them, and of counts in messages.

Numbers of ranks, layers and experts are unsigned 16-bit integers. A map is a
tuple with the encoded experts of each rank; larger numbers raise ValueError.
"""

from __future__ import annotations

import array
import itertools
import struct
import sys
import zlib
from collections.abc import Iterable, Sequence

from .model import ExpertsByLayer

PackedMap = tuple[bytes, ...]
"""A map: the experts of each rank, encoded by :func:`pack_rank`."""

MAX_UNPACKED_BYTES = 1 << 20
"""Bound on the memory that a malformed message can take."""

MAX_BYTE = 255
_ABSENT = 0xFFFF
_MOVE_FIELDS = 4
_ITEM_BYTES = 2
_SCALE = struct.Struct('<f')


def pack_rank(layers: ExpertsByLayer) -> bytes:
    """Encode the experts of one rank: by layer, their number and each one."""
    return _pack(itertools.chain.from_iterable((len(r), *r) for r in layers))


def unpack_rank(data: bytes) -> list[list[int]]:
    """Decode the experts of one rank; raises ValueError."""
    items = _unpack(data)
    rows = []
    position = 0
    while position < len(items):
        end = position + 1 + items[position]
        if end > len(items):
            raise ValueError('expert map truncated: incomplete row of experts')
        rows.append(items[position + 1 : end].tolist())
        position = end
    return rows


def pack_map(ranks: Sequence[bytes]) -> bytes:
    """Encode a map from the encoded experts of each rank.

    The map is compressed because it takes 12 KB for 96 ranks with 16 layers
    and links have a few Mbit/s.
    """
    lengths = _pack((len(ranks), *map(len, ranks)))
    return zlib.compress(lengths + b''.join(ranks))


def unpack_map(data: bytes) -> PackedMap:
    """Decode a map; raises ValueError.

    All ranks have the same number of layers.
    """
    data = _decompress(data)
    (count,) = _unpack(data[:_ITEM_BYTES]) or (0,)
    start = _ITEM_BYTES * (1 + count)
    lengths = _unpack(data[_ITEM_BYTES:start])
    if not count or start + sum(lengths) != len(data):
        raise ValueError('expert map truncated or without ranks')
    ends = list(itertools.accumulate(lengths, initial=start))
    ranks = tuple(data[a:b] for a, b in itertools.pairwise(ends))
    if len({len(unpack_rank(rank)) for rank in ranks}) != 1:
        raise ValueError(
            'ranks of the expert map differ in their number of layers'
        )
    return ranks


def checksum(ranks: PackedMap) -> int:
    """Return a checksum of a map."""
    return zlib.crc32(b''.join(ranks), len(ranks))


def pack_moves(before: PackedMap, after: PackedMap) -> bytes:
    """Encode the difference between two maps of the same shape.

    Each move replaces one expert of a rank and layer by another; either may be
    absent. Raises ValueError if the shapes differ.
    """
    if len(before) != len(after):
        raise ValueError('the maps differ in their number of ranks')
    moves = [
        (rank, layer, removed, added)
        for rank, (old, new) in enumerate(zip(before, after, strict=True))
        if old != new
        for layer, (old_row, new_row) in enumerate(
            zip(unpack_rank(old), unpack_rank(new), strict=True)
        )
        for removed, added in itertools.zip_longest(
            sorted(set(old_row) - set(new_row)),
            sorted(set(new_row) - set(old_row)),
            fillvalue=_ABSENT,
        )
    ]
    # One column after the other compresses better than one move after another.
    columns = itertools.chain.from_iterable(zip(*moves, strict=True))
    return zlib.compress(_pack(columns))


def apply_moves(before: PackedMap, data: bytes) -> PackedMap:
    """Return the map after the moves; raises ValueError.

    The experts of a changed row are in ascending order.
    """
    items = _unpack(_decompress(data))
    count, remainder = divmod(len(items), _MOVE_FIELDS)
    if remainder:
        raise ValueError('moves of an expert map truncated')
    rows: dict[int, list[set[int]]] = {}
    for rank, layer, removed, added in zip(
        *(items[n * count : (n + 1) * count] for n in range(_MOVE_FIELDS)),
        strict=True,
    ):
        if rank >= len(before):
            raise ValueError('moves name a rank beyond the group')
        if rank not in rows:
            rows[rank] = list(map(set, unpack_rank(before[rank])))
        if layer >= len(rows[rank]):
            raise ValueError('moves name a layer beyond the map')
        rows[rank][layer] = (rows[rank][layer] - {removed}) | {added}
    after = list(before)
    for rank, layers in rows.items():
        after[rank] = pack_rank([sorted(row - {_ABSENT}) for row in layers])
    return tuple(after)


def pack_numbers(numbers: Iterable[int]) -> bytes:
    """Encode ranks; raises ValueError."""
    return _pack(numbers)


def unpack_numbers(data: bytes) -> list[int]:
    """Decode ranks; raises ValueError."""
    return _unpack(data).tolist()


def pack_counts(counts: Sequence[float]) -> bytes:
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


def _pack(items: Iterable[int]) -> bytes:
    try:
        packed = array.array('H', items)
    except OverflowError as exc:
        raise ValueError(f'number does not fit in 16 bits: {exc}') from exc
    if sys.byteorder == 'big':
        packed.byteswap()
    return packed.tobytes()


def _unpack(data: bytes) -> array.array:
    if len(data) % _ITEM_BYTES:
        raise ValueError('odd number of bytes in an expert map')
    items = array.array('H', data)
    if sys.byteorder == 'big':
        items.byteswap()
    return items


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        found = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    except zlib.error as exc:
        raise ValueError(f'expert map cannot be decompressed: {exc}') from exc
    if not decompressor.eof:
        raise ValueError('expert map truncated or too large')
    return found
