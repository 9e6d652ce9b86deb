"""Rates of calls by service and level, packed for datagrams."""

from __future__ import annotations

import collections
import struct
from collections.abc import Iterable, Mapping

import xxhash

MAX_ROWS = 64
"""Rows of a message that are read."""

_ROW = struct.Struct('!IBH')
_TENTHS = 10
_MAX_TENTHS = 0xFFFF

Key = tuple[int, int]
"""Hash of a service's name, and level."""


def key_of(service: str, level: int) -> Key:
    """Return the key of a service's calls of one level."""
    return xxhash.xxh32_intdigest(service.encode()), level


def pack(rates: Mapping[Key, float]) -> bytes:
    """Encode rates in calls per second; those of 0 are left out."""
    rows = (
        (name_hash, level, min(round(rate * _TENTHS), _MAX_TENTHS))
        for (name_hash, level), rate in rates.items()
    )
    return b''.join(_ROW.pack(*row) for row in rows if row[2])


def unpack(data: bytes) -> dict[Key, float]:
    """Decode rates; raises ValueError."""
    if len(data) % _ROW.size or len(data) > MAX_ROWS * _ROW.size:
        raise ValueError('demand rows truncated or too many')
    return {
        (name_hash, level): tenths / _TENTHS
        for name_hash, level, tenths in _ROW.iter_unpack(data)
    }


def total(packed: Iterable[bytes]) -> bytes:
    """Return the sum of packed rates; unreadable ones are left out."""
    sums: collections.Counter[Key] = collections.Counter()
    for data in packed:
        try:
            sums.update(unpack(data))
        except ValueError:
            continue
    return pack(dict(sums.most_common(MAX_ROWS)))
