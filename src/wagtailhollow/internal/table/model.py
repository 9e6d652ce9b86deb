"""Rows of the operators' table.

The platform object ``config/table`` holds
``{"rows": {"<kind>/<name>": {...}}, "recent_changes": [...]}``, where
``recent_changes`` are the ids of the latest edits, oldest first. The version
of the table is the platform's version of that object. Every row kind is a
frozen dataclass whose fields are the columns. Rows that can be withdrawn also
carry ``change_id``, the id of the edit that last named them.
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
    """Whether operators have taken a data centre or target out."""

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
    """A customer: its keys and what it may take.

    :ivar key_hashes: SHA-256 of its API keys, in hex.
    :ivar weight: share when demand exceeds capacity.
    :ivar requests_per_s: 0 means no limit.
    :ivar tokens_per_day: budget; 0 means no limit.
    :ivar max_concurrent: calls at the same time; 0 means no limit.
    :ivar max_tokens_per_call: upper bound of one call's tokens.
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
    """A service that callers can name.

    :ivar kind: ``model`` or ``plain``.
    :ivar models: model names served, for ``model`` services.
    :ivar repeatable_methods: HTTP methods that may be sent twice.
    :ivar data_centre_weights: share of each data centre; absent means its
        own weight.
    :ivar routing: name of the routing policy.
    :ivar priority: priority of its calls at the engines, higher first.
    :ivar queue_limit: calls that may wait at one entry.
    :ivar hedge_after_ms: delay before a second attempt of a repeatable call
        that has not answered; 0 means never.
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
    """A data centre and whether it may receive new work."""

    state: str = ServiceState.IN_SERVICE.value
    weight: float = 1.0
    region: str = 'default'


@row_type('target')
@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target; targets without a row have these defaults."""

    state: str = ServiceState.IN_SERVICE.value
    weight: float = 1.0
    max_concurrent: int = 64


@dataclasses.dataclass(frozen=True)
class Table:
    """One version of the table.

    :ivar version: platform version of the object it was read from.
    :ivar rows: row key to row as JSON, the form in which it travels.
    """

    version: int
    rows: Mapping[str, Mapping[str, Any]]


def row_key(kind: str, name: str) -> str:
    """Return the key of the row *name* of *kind*."""
    return f'{kind}/{name}'
