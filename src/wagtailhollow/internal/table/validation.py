"""Validation of table rows, with error messages for operators."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from . import model

ROUTING_POLICIES = (
    'prefix_affinity',
    'power_of_two',
    'round_robin',
    'least_reported_load',
)
SERVICE_KINDS = ('model', 'plain')
HTTP_METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'POST', 'PATCH')
MAX_COUNT = 2**53 - 1
"""Largest integer that every JSON implementation represents exactly."""

_NAME = re.compile(r'[A-Za-z0-9._-]{1,64}')
_MODEL_NAME = re.compile(r'[A-Za-z0-9._:/-]{1,128}')
_HASH = re.compile(r'[0-9a-f]{64}')


@dataclasses.dataclass(frozen=True)
class RowError:
    """A validation error of a row.

    :ivar row: row key, ``<kind>/<name>``.
    :ivar column: name of the column, or '' for the row as a whole.
    :ivar got: description of the invalid value.
    :ivar allowed: description of the allowed values.
    """

    row: str
    column: str
    got: str
    allowed: str

    def __str__(self) -> str:
        location = f'{self.row}: {self.column}' if self.column else self.row
        return f'{location}: got {self.got}; allowed: {self.allowed}'


@dataclasses.dataclass(frozen=True)
class Rule:
    """The allowed values of a column: their description and the check."""

    allowed: str
    check: Callable[[Any], bool]


def _number(low: float, high: float) -> Rule:
    return Rule(
        f'a number from {low:g} to {high:g}',
        lambda value: type(value) in (int, float) and low <= value <= high,
    )


def _integer(low: int, high: int) -> Rule:
    return Rule(
        f'a whole number from {low} to {high}',
        lambda value: type(value) is int and low <= value <= high,
    )


def _one_of(*names: str) -> Rule:
    return Rule(
        'one of ' + ', '.join(names),
        lambda value: isinstance(value, str) and value in names,
    )


def _list_of(description: str, check: Callable[[str], Any]) -> Rule:
    return Rule(
        f'a list of {description}, none twice',
        lambda value: (
            isinstance(value, (list, tuple))
            and all(isinstance(item, str) and check(item) for item in value)
            and len(set(value)) == len(value)
        ),
    )


_WEIGHT = _number(0, 1_000_000)
_STATE = _one_of(*(state.value for state in model.ServiceState))

RULES: dict[str, dict[str, Rule]] = {
    'organisation': {
        'key_hashes': _list_of(
            'SHA-256 hashes, each 64 digits 0-9a-f', _HASH.fullmatch
        ),
        'weight': _number(0.001, 1_000_000),
        'requests_per_s': _number(0, 1_000_000),
        'tokens_per_day': _integer(0, MAX_COUNT),
        'max_concurrent': _integer(0, 1_000_000),
        'max_tokens_per_call': _integer(1, 1_000_000),
    },
    'service': {
        'kind': _one_of(*SERVICE_KINDS),
        'models': _list_of('model names', _MODEL_NAME.fullmatch),
        'repeatable_methods': _list_of(
            'HTTP methods (' + ', '.join(HTTP_METHODS) + ')',
            lambda value: value in HTTP_METHODS,
        ),
        'data_centre_weights': Rule(
            'an object, data centre name to a number from 0 to 1e+06',
            lambda value: (
                isinstance(value, Mapping)
                and all(
                    isinstance(name, str)
                    and _NAME.fullmatch(name)
                    and _WEIGHT.check(weight)
                    for name, weight in value.items()
                )
            ),
        ),
        'routing': _one_of(*ROUTING_POLICIES),
        'priority': _integer(-100, 100),
        'queue_limit': _integer(0, 65_536),
        'hedge_after_ms': _integer(0, 600_000),
    },
    'data_centre': {
        'state': _STATE,
        'weight': _WEIGHT,
        'region': Rule(
            'a name of 1 to 64 of A-Z, a-z, 0-9, dot, dash and underscore',
            lambda value: (
                isinstance(value, str) and bool(_NAME.fullmatch(value))
            ),
        ),
    },
    'target': {
        'state': _STATE,
        'weight': _WEIGHT,
        'max_concurrent': _integer(1, 65_536),
    },
}


def check_rows(rows: Mapping[str, Any]) -> list[RowError]:
    """Return the errors of *rows*, each checked on its own."""
    return [
        error for key, row in rows.items() for error in check_row(key, row)
    ]


def check_row(key: str, row: Any) -> list[RowError]:
    """Return the errors of one row."""
    kind, _, name = key.partition('/')
    if kind not in RULES or not _NAME.fullmatch(name):
        kinds = '|'.join(RULES)
        allowed = f'({kinds})/NAME, NAME of 1 to 64 of A-Z, a-z, 0-9, . - _'
        return [RowError(key, '', f'the row key {key!r}', allowed)]
    if not isinstance(row, Mapping):
        return [RowError(key, '', format_value(row), 'an object of columns')]
    rules = RULES[kind]
    return [
        _column_error(key, column, value, rules)
        for column, value in row.items()
        if column != model.CHANGE_ID_COLUMN
        and not (column in rules and rules[column].check(value))
    ]


def check_uniqueness(rows: Mapping[str, Mapping[str, Any]]) -> list[RowError]:
    """Return the errors for values that only one row may have."""
    return [
        *_duplicates(rows, 'organisation', 'key_hashes'),
        *_duplicates(rows, 'service', 'models'),
    ]


def format_value(value: Any) -> str:
    """Format *value* for a message, shortened if necessary."""
    # Python refuses to convert integers of more than 4,300 digits to text.
    if type(value) is int and value.bit_length() > 1_000:
        return 'a huge number'
    text = repr(value)
    return text if len(text) <= 80 else f'{text[:77]}...'


def _column_error(
    key: str, column: str, value: Any, rules: Mapping[str, Rule]
) -> RowError:
    if column not in rules:
        return RowError(
            key, column, 'an unknown column', ', '.join(sorted(rules))
        )
    return RowError(key, column, format_value(value), rules[column].allowed)


def _duplicates(
    rows: Mapping[str, Mapping[str, Any]], kind: str, column: str
) -> Iterable[RowError]:
    rows_by_value = collections.defaultdict(list)
    for key in sorted(rows):
        if key.startswith(f'{kind}/'):
            for value in rows[key].get(column, ()):
                rows_by_value[value].append(key)
    return itertools.chain.from_iterable(
        [
            RowError(
                key, column, format_value(value), f'values not in {keys[0]}'
            )
            for key in keys[1:]
        ]
        for value, keys in rows_by_value.items()
    )
