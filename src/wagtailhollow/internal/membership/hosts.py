"""The platform's host list as a replicated document."""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

from ..store import api

HOSTS_DOCUMENT = 'hosts'
LEAVING = 'leaving'

_FIELDS = frozenset(field.name for field in dataclasses.fields(api.HostRow))


def to_rows(hosts: Iterable[api.HostRow]) -> dict[str, dict[str, Any]]:
    """Return the host list as document rows, by node name."""
    return {host.node: dataclasses.asdict(host) for host in hosts}


def own_row_document(node: str) -> str:
    """Return the name of the document that holds only the row of *node*."""
    return f'host/{node}'


def from_rows(rows: Mapping[str, Mapping[str, Any]]) -> list[api.HostRow]:
    """Parse document rows; unknown columns are ignored."""
    return [
        api.HostRow(**{key: row[key] for key in row.keys() & _FIELDS})
        for row in rows.values()
    ]
