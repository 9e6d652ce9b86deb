"""Decodes the store's responses, whose objects have several writers.

One value that cannot be read must not hide the other objects of its page.
json.loads rejects a text as a whole for values that are nested too deeply,
numbers with too many digits and bytes that are not UTF-8; such a page is split
into its objects first, without decoding what is in them.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Iterator, Mapping
from typing import Any

UNREADABLE = object()
"""Stands for a value that cannot be read; no decoder accepts it."""

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_KEY = re.compile(rb'\s*("(?:[^"\\]|\\.)*")\s*:', re.DOTALL)
_OPENING = frozenset({b'[', b'{'})
_CLOSING = frozenset({b']', b'}'})


def decode(text: bytes) -> Any:
    """Decode a page: an object with ``items`` or ``events``.

    What cannot be read in an object of the page is :data:`UNREADABLE`: its
    whole spec or status, or one field of its metadata.

    :raises ValueError: the page itself is not JSON.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return _decode_members(text, {'items': _items, 'events': _events})


def _items(text: bytes) -> list[Any]:
    return [_object(item) for item in _elements(text, b'[')]


def _events(text: bytes) -> list[Any]:
    return [
        _decode_members(item, {'object': _object})
        for item in _elements(text, b'[')
    ]


def _object(text: bytes) -> Any:
    try:
        return _decode_members(text, {'metadata': _metadata})
    except ValueError:
        return UNREADABLE


def _metadata(text: bytes) -> Any:
    try:
        return _decode_members(text, {})
    except ValueError:
        return UNREADABLE


def _decode_members(
    text: bytes, decoders: Mapping[str, Callable[[bytes], Any]]
) -> dict[str, Any]:
    """Decode an object member by member.

    :param decoders: functions for the members that are not decoded whole.
    :raises ValueError: the text is not an object.
    """
    found = {}
    for member in _elements(text, b'{'):
        key = _KEY.match(member)
        if key is None:
            raise ValueError('a member of an object has no name')
        name = _value(key[1])
        if isinstance(name, str):
            found[name] = decoders.get(name, _value)(member[key.end() :])
    return found


def _value(text: bytes) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return UNREADABLE


def _elements(text: bytes, opening: bytes) -> Iterator[bytes]:
    """Yield the texts between the commas of an array or an object.

    :raises ValueError: the text does not begin with *opening*, or its brackets
        do not match.
    """
    text = text.strip()
    if not text.startswith(opening):
        raise ValueError(f'expected {opening!r}')
    depth = 0
    start = 1
    for token in _TOKEN.finditer(text):
        mark = token[0]
        if mark in _OPENING:
            depth += 1
        elif mark in _CLOSING:
            depth -= 1
        if mark == b',' and depth == 1 or depth == 0:
            element = text[start : token.start()]
            if element.strip() or depth:
                yield element
            start = token.end()
        if depth == 0:
            if text[start:].strip():
                raise ValueError('text after the end of the value')
            return
    raise ValueError('the value does not end')
