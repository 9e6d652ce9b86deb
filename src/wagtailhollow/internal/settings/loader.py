"""Loads a settings file into a frozen dataclass and validates it.

The file is JSON with comments. Each dataclass field is one key. A field
declared with :func:`setting` has a constraint and a description of the allowed
values, which the error message quotes when a value is refused.
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
class SettingsProblem:
    """Why a settings file was refused.

    :ivar file: path of the file.
    :ivar key: dotted key within it, or '' for the file as a whole.
    :ivar got: the value found, or a description of it.
    :ivar allowed: what is allowed instead.
    """

    file: str
    key: str
    got: str
    allowed: str

    def __str__(self) -> str:
        location = f'{self.file}: {self.key}' if self.key else self.file
        return f'{location}: got {self.got}; allowed: {self.allowed}'


@dataclasses.dataclass(frozen=True)
class InvalidValue(Exception):
    """A refused value; see :class:`SettingsProblem` for the attributes.

    A settings class may have a method ``check_consistency``, which raises it
    for values that are allowed individually but not in combination.
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

    :param default: value if the key is absent; without a default the key is
        required.
    :param allowed: description of the allowed values for error messages.
    :param check: returns whether a value of the right type is allowed.
    """
    metadata = {'allowed': allowed, 'check': check}
    if isinstance(default, (dict, list)):
        return dataclasses.field(
            default_factory=lambda: type(default)(default), metadata=metadata
        )
    return dataclasses.field(default=default, metadata=metadata)


def in_range(low: float, high: float) -> Callable[[Any], bool]:
    """Return a check that a value is from *low* to *high*, inclusive."""
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


def load(path: str, cls: type[T]) -> expression.Result[T, SettingsProblem]:
    """Load the settings file *path* as *cls*; return the first error found."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as exc:
        return expression.Error(
            SettingsProblem(path, '', str(exc), 'a readable UTF-8 file')
        )
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as exc:
        return expression.Error(
            SettingsProblem(path, '', str(exc), 'JSON with comments')
        )
    try:
        return expression.Ok(_build_settings(cls, document, ''))
    except InvalidValue as exc:
        return expression.Error(
            SettingsProblem(path, exc.key, exc.got, exc.allowed)
        )


def _build_settings(cls: type[T], document: Any, prefix: str) -> T:
    if not isinstance(document, Mapping):
        raise InvalidValue(
            prefix.rstrip('.'), _format_value(document), 'an object'
        )
    fields = {field.name: field for field in dataclasses.fields(cls)}
    for key in document:
        if key not in fields:
            known = ', '.join(sorted(fields))
            raise InvalidValue(f'{prefix}{key}', 'an unknown key', known)
    annotations = typing.get_type_hints(cls)
    values = {
        name: _read_field(field, annotations[name], document, prefix)
        for name, field in fields.items()
        if name in document or _raise_if_required(field, prefix)
    }
    result = cls(**values)
    if hasattr(result, 'check_consistency'):
        try:
            result.check_consistency()
        except InvalidValue as exc:
            raise InvalidValue(
                f'{prefix}{exc.key}', exc.got, exc.allowed
            ) from exc
    return result


def _raise_if_required(field: dataclasses.Field[Any], prefix: str) -> bool:
    if (
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    ):
        raise InvalidValue(
            f'{prefix}{field.name}',
            'no value',
            field.metadata.get('allowed', 'a value'),
        )
    return False


def _read_field(
    field: dataclasses.Field[Any],
    annotation: Any,
    document: Mapping[str, Any],
    prefix: str,
) -> Any:
    key = f'{prefix}{field.name}'
    raw = document[field.name]
    allowed = field.metadata.get('allowed', 'a value of the right type')
    value = _convert(raw, annotation, key, allowed)
    check = field.metadata.get('check')
    if value is not None and check is not None and not check(value):
        raise InvalidValue(key, _format_value(raw), allowed)
    return value


def _convert(raw: Any, annotation: Any, key: str, allowed: str) -> Any:
    origin = typing.get_origin(annotation)
    if origin in (typing.Union, types.UnionType):
        options = typing.get_args(annotation)
        if raw is None and type(None) in options:
            return None
        (annotation,) = [
            option for option in options if option is not type(None)
        ]
        return _convert(raw, annotation, key, allowed)
    if dataclasses.is_dataclass(annotation):
        return _build_settings(annotation, raw, f'{key}.')
    if origin is tuple and isinstance(raw, list):
        item = typing.get_args(annotation)[0]
        return tuple(
            _convert(value, item, f'{key}[{index}]', allowed)
            for index, value in enumerate(raw)
        )
    if origin is dict and isinstance(raw, Mapping):
        item = typing.get_args(annotation)[1]
        return {
            name: _convert(value, item, f'{key}.{name}', allowed)
            for name, value in raw.items()
        }
    if annotation is float and type(raw) in (int, float):
        try:
            return float(raw)
        except OverflowError as exc:
            raise InvalidValue(key, _format_value(raw), allowed) from exc
    # Compares the exact type, because bool is a subclass of int.
    if isinstance(annotation, type) and type(raw) is annotation:
        return raw
    raise InvalidValue(key, _format_value(raw), allowed)


def _format_value(raw: Any) -> str:
    """Return a refused value as text, truncated to a readable length."""
    # Python refuses to convert integers of more than 4,300 digits to text.
    is_huge = type(raw) is int and raw.bit_length() > 1_000
    text = 'a huge number' if is_huge else repr(raw)
    return text if len(text) <= 120 else f'{text[:117]}...'
