"""Row types of the operators' table.

The platform object ``config/table`` holds
``{"rows": {"<kind>/<name>": {...}}, "recent_changes": [...]}``, where
``recent_changes`` are the ids of the latest edits, oldest first. The version
of the table is the platform's version of that object. Every row kind is a
frozen dataclass whose fields are the columns. Rows that can be withdrawn also
have ``change_id``, the id of the latest edit of the row.
"""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any

TABLE_KEY = 'config/table'
TABLE_DOCUMENT = 'table'

WITHDRAWABLE_KINDS = ('data_centre', 'target')
CHANGE_ID_COLUMN = 'change_id'

ROW_TYPES: dict[str, type] = {}


class ServiceState(enum.StrEnum):
    """Whether operators have withdrawn a data centre or target."""

    IN_SERVICE = 'in_service'
    WITHDRAWN = 'withdrawn'


def row_type(kind: str):
    """Register a dataclass as the row type of *kind*."""

    def register(cls: type) -> type:
        ROW_TYPES[kind] = cls
        return cls

    return register


@row_type('organisation')
@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A customer: its keys and limits.

    :ivar key_hashes: SHA-256 of its API keys, in hex.
    :ivar weight: relative share when demand exceeds capacity.
    :ivar requests_per_s: 0 means no limit.
    :ivar tokens_per_day: token budget per (UTC) day; 0 means no limit.
    :ivar max_concurrent: concurrent calls; 0 means no limit.
    :ivar max_tokens_per_call: maximum number of tokens of one call.
    """

    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    requests_per_s: float = 0.0
    tokens_per_day: int = 0
    max_concurrent: int = 0
    max_tokens_per_call: int = 4096


@row_type('service')
@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that calls can address.

    :ivar kind: ``model`` or ``plain``.
    :ivar models: names of the models that a ``model`` service serves.
    :ivar repeatable_methods: HTTP methods that may be executed more than once.
    :ivar data_centre_weights: weights by data centre; the default is the
        weight in the row of the data centre.
    :ivar routing: name of the routing policy.
    :ivar priority: priority of its calls at the engines; higher goes first.
    :ivar queue_limit: number of calls that may wait at one entry.
    :ivar hedge_after_ms: delay before a second attempt of a repeatable call
        without an answer; 0 means never.
    """

    kind: str = 'model'
    models: tuple[str, ...] = ()
    repeatable_methods: tuple[str, ...] = ('GET', 'HEAD')
    data_centre_weights: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    routing: str = 'prefix_affinity'
    priority: int = 0
    queue_limit: int = 512
    hedge_after_ms: int = 0


@row_type('data_centre')
@dataclasses.dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre and whether it may receive new calls."""

    state: str = ServiceState.IN_SERVICE.value
    weight: float = 1.0
    region: str = 'default'


@row_type('target')
@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target; the defaults apply to targets without a row."""

    state: str = ServiceState.IN_SERVICE.value
    weight: float = 1.0
    max_concurrent: int = 64


@dataclasses.dataclass(frozen=True)
class Table:
    """One version of the table.

    :ivar version: platform version of the object that it was read from.
    :ivar rows: rows by row key, in the JSON form in which they are sent.
    """

    version: int
    rows: Mapping[str, Mapping[str, Any]]


def row_key(kind: str, name: str) -> str:
    """Return the key of the row *name* of *kind*."""
    return f'{kind}/{name}'
