"""Describes settings keys and table columns: type, default, allowed values.

``docs/configuration.md`` has these descriptions in its tables and
``wagtailhollow-ctl columns`` shows those of the table.
"""

from __future__ import annotations

import dataclasses
import json
import types
import typing
from collections.abc import Iterator
from typing import Any

from ..table import model, validation

_TYPE_NAMES = {
    str: 'text',
    int: 'whole number',
    float: 'number',
    type(None): 'null',
}


@dataclasses.dataclass(frozen=True)
class Key:
    """One settings key or table column.

    :ivar default: as JSON, '' if the key is required.
    """

    name: str
    type: str
    default: str
    allowed: str


def settings_keys(cls: type, prefix: str = '') -> Iterator[Key]:
    """Yield the keys of a settings class, nested ones after their object.

    The keys inside an optional object (``X | None``) are left out.
    """
    hints = typing.get_type_hints(cls)
    for field in dataclasses.fields(cls):
        hint = hints[field.name]
        allowed = field.metadata['allowed']
        name = f'{prefix}{field.name}'
        yield Key(name, _type_name(hint), _default(field), allowed)
        if dataclasses.is_dataclass(hint):
            yield from settings_keys(hint, f'{name}.')


def columns(kind: str) -> Iterator[Key]:
    """Return all columns of a row kind."""
    hints = typing.get_type_hints(model.ROW_TYPES[kind])
    for field in dataclasses.fields(model.ROW_TYPES[kind]):
        allowed = validation.RULES[kind][field.name].allowed
        yield Key(
            field.name,
            _type_name(hints[field.name]),
            _default(field),
            allowed,
        )


def _type_name(hint: Any) -> str:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return ' or '.join(map(_type_name, typing.get_args(hint)))
    if origin is tuple:
        return f'list of {_type_name(typing.get_args(hint)[0])}'
    return _TYPE_NAMES.get(hint, 'object')


def _default(field: dataclasses.Field[Any]) -> str:
    if field.default is not dataclasses.MISSING:
        value = field.default
    elif field.default_factory is not dataclasses.MISSING:
        value = field.default_factory()
    else:
        return ''
    if dataclasses.is_dataclass(value):
        return '{}'
    return json.dumps(value)
