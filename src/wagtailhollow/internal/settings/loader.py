"""Loads a settings file into a frozen dataclass and validates it.

The file is JSON with comments. Each dataclass field is one key. A field
declared with :func:`setting` carries its constraint and a description of
what is allowed, which is quoted when a value is refused.
"""

from __future__ import annotations

import dataclasses
import pathlib
import types
import typing
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

import expression
import json5

T = TypeVar('T')


@dataclasses.dataclass(frozen=True)
class SettingsError:
    """Why a settings file was refused.

    :ivar file: path of the file.
    :ivar key: dotted key within it, or '' for the file as a whole.
    :ivar got: what was found.
    :ivar allowed: what is allowed instead.
    """

    file: str
    key: str
    got: str
    allowed: str

    def __str__(self) -> str:
        place = f'{self.file}: {self.key}' if self.key else self.file
        return f'{place}: got {self.got}; allowed: {self.allowed}'


@dataclasses.dataclass(frozen=True)
class Invalid(Exception):
    """A value that is refused; see :class:`SettingsError`.

    Raised by the ``check_together`` method that a settings class may have,
    for values that are allowed one by one but not together.
    """

    key: str
    got: str
    allowed: str


def setting(
    default: Any = dataclasses.MISSING,
    *,
    allowed: str,
    check: Callable[[Any], bool] = lambda value: True,
) -> Any:
    """Declare a settings field.

    :param default: value if the key is absent; without it the key is
        required.
    :param allowed: what is allowed, in words, for the error message.
    :param check: returns whether a value of the right type is allowed.
    """
    metadata = {'allowed': allowed, 'check': check}
    if isinstance(default, (dict, list)):
        return dataclasses.field(
            default_factory=lambda: type(default)(default), metadata=metadata
        )
    return dataclasses.field(default=default, metadata=metadata)


def between(low: float, high: float) -> Callable[[Any], bool]:
    """Return a check for ``low <= value <= high``."""
    return lambda value: low <= value <= high


def is_address(value: str) -> bool:
    """Return whether *value* is ``host:port`` with a numeric port."""
    host, separator, port = value.rpartition(':')
    return bool(
        separator
        and host
        and port.isascii()
        and port.isdigit()
        and len(port) <= 5
        and int(port) < 65536
    )


def is_url(value: str) -> bool:
    """Return whether *value* is an http or https URL with a host."""
    scheme, separator, rest = value.partition('://')
    return bool(separator and scheme in ('http', 'https') and rest)


def load(path: str, cls: type[T]) -> expression.Result[T, SettingsError]:
    """Return the settings in *path* as *cls*, or the first error found."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return expression.Error(
            SettingsError(path, '', str(exc), 'a readable UTF-8 file')
        )
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        return expression.Error(
            SettingsError(path, '', str(exc), 'JSON with comments')
        )
    try:
        return expression.Ok(_build(cls, document, ''))
    except Invalid as exc:
        return expression.Error(
            SettingsError(path, exc.key, exc.got, exc.allowed)
        )


def _build(cls: type[T], document: Any, prefix: str) -> T:
    if not isinstance(document, Mapping):
        raise Invalid(prefix.rstrip('.'), _shown(document), 'an object')
    fields = {field.name: field for field in dataclasses.fields(cls)}
    for key in document:
        if key not in fields:
            known = ', '.join(sorted(fields))
            raise Invalid(f'{prefix}{key}', 'an unknown key', known)
    hints = typing.get_type_hints(cls)
    values = {
        name: _value(field, hints[name], document, prefix)
        for name, field in fields.items()
        if name in document or _is_required(field, prefix)
    }
    result = cls(**values)
    if hasattr(result, 'check_together'):
        try:
            result.check_together()
        except Invalid as exc:
            raise Invalid(f'{prefix}{exc.key}', exc.got, exc.allowed) from exc
    return result


def _is_required(field: dataclasses.Field[Any], prefix: str) -> bool:
    if (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    ):
        raise Invalid(
            f'{prefix}{field.name}',
            'no value',
            field.metadata.get('allowed', 'a value'),
        )
    return False


def _value(
    field: dataclasses.Field[Any],
    hint: Any,
    document: Mapping[str, Any],
    prefix: str,
) -> Any:
    key = f'{prefix}{field.name}'
    raw = document[field.name]
    allowed = field.metadata.get('allowed', 'a value of the right type')
    value = _typed(raw, hint, key, allowed)
    check = field.metadata.get('check')
    if value is not None and check is not None and not check(value):
        raise Invalid(key, _shown(raw), allowed)
    return value


def _typed(raw: Any, hint: Any, key: str, allowed: str) -> Any:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        options = typing.get_args(hint)
        if raw is None and type(None) in options:
            return None
        (hint,) = [option for option in options if option is not type(None)]
        return _typed(raw, hint, key, allowed)
    if dataclasses.is_dataclass(hint):
        return _build(hint, raw, f'{key}.')
    if origin is tuple and isinstance(raw, list):
        item = typing.get_args(hint)[0]
        return tuple(
            _typed(value, item, f'{key}[{index}]', allowed)
            for index, value in enumerate(raw)
        )
    if origin is dict and isinstance(raw, Mapping):
        item = typing.get_args(hint)[1]
        return {
            name: _typed(value, item, f'{key}.{name}', allowed)
            for name, value in raw.items()
        }
    if hint is float and type(raw) in (int, float):
        try:
            return float(raw)
        except OverflowError as exc:
            raise Invalid(key, _shown(raw), allowed) from exc
    # bool is a subclass of int, so the exact type is compared.
    if isinstance(hint, type) and type(raw) is hint:
        return raw
    raise Invalid(key, _shown(raw), allowed)


def _shown(raw: Any) -> str:
    """Return a refused value for the message, cut to a readable length."""
    # An integer of more than 4,300 digits has no text in Python.
    is_huge = type(raw) is int and raw.bit_length() > 1_000
    text = 'a huge number' if is_huge else repr(raw)
    return text if len(text) <= 120 else f'{text[:117]}...'
