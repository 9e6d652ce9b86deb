"""Encoding of the rows of a :class:`messages.LoadBatch`, one for each target.

The numbers of a row are unsigned 16-bit integers; larger ones are cut to the
largest of these.
"""

from __future__ import annotations

import dataclasses
import socket
import struct
from collections.abc import Iterable

from . import messages

_ROW = struct.Struct('<4sHHH?HH')
"""Address and port, running and waiting calls, whether the group is open, pass
time and age in ms."""

_MAX = 0xFFFF
_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRow:
    """Load of one target.

    :ivar target: address of the target, ``ip:port``.
    :ivar pass_s: mean duration of a pass, 0 if unknown.
    :ivar age_s: time since the target was asked.
    """

    target: str
    running: int
    waiting: int
    is_open: bool
    pass_s: float
    age_s: float


def row_of(report: messages.LoadReport, age_s: float = 0.0) -> LoadRow:
    """Return the row for a report of one target."""
    return LoadRow(
        report.target,
        report.running,
        report.waiting,
        report.is_open,
        report.pass_ms / _MS,
        age_s,
    )


def pack(rows: Iterable[LoadRow]) -> bytes:
    """Encode rows; raises OSError or ValueError for an invalid address."""
    return b''.join(map(_pack_row, rows))


def unpack(data: bytes) -> list[LoadRow]:
    """Decode rows; raises ValueError."""
    if len(data) % _ROW.size:
        raise ValueError('load rows truncated')
    return [
        LoadRow(
            f'{socket.inet_ntoa(ip)}:{port}',
            running,
            waiting,
            is_open,
            pass_ms / _MS,
            age_ms / _MS,
        )
        for ip, port, running, waiting, is_open, pass_ms, age_ms in (
            _ROW.iter_unpack(data)
        )
    ]


def _pack_row(row: LoadRow) -> bytes:
    host, _, port = row.target.rpartition(':')
    return _ROW.pack(
        socket.inet_aton(host),
        int(port),
        min(row.running, _MAX),
        min(row.waiting, _MAX),
        row.is_open,
        min(round(row.pass_s * _MS), _MAX),
        min(round(row.age_s * _MS), _MAX),
    )
