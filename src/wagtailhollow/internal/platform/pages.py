"""Decodes the store's responses, whose objects have several writers.

One value that cannot be read must not hide the other objects of its page, and
what another writer has put there must not hold up calls. A small page that is
JSON is decoded at once. Any other is read object by object, and an object that
is too large or cannot be read member by member. Values are skipped by regular
expressions that match several levels of brackets at once, and other work runs
in between.
"""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable, Generator, Mapping
from typing import Any, TypeVar

T = TypeVar('T')

Steps = Generator[None, None, T]
"""Work in steps that ends with a result; other work may run between two."""


class Unreadable:
    """Stands for a value that is not decoded; no decoder accepts it."""

    def __init__(self, reason: str) -> None:
        self._reason = reason

    def __getitem__(self, name: str) -> Any:
        """Raise ValueError with the reason."""
        raise ValueError(self._reason)


UNREADABLE = Unreadable('the value cannot be read')
TOO_LARGE = Unreadable('the value is too large')

MAX_OBJECT_BYTES = 64 * 1024
"""Bytes of an object that is decoded, if its kind has no larger limit; the
registration of an engine has some hundred."""

MAX_BYTES_IN_STEP = 64 * 1024
BYTES_PER_TOKEN = 64
"""Bytes that are decoded or skipped between two steps, which takes some ms; a
token that is looked at on its own counts as so many."""

_NESTING = 6
"""Levels of brackets that one match takes."""


def _balanced(levels: int) -> str:
    """Return a pattern for text whose brackets match, up to some levels.

    All parts are possessive, so that no text is matched in a second way.
    """
    text = r'[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"'
    value = text
    for _ in range(levels):
        value = rf'{text}|[\[{{](?:{value})*+[\]}}]'
    return f'(?:{value})*+'


_RUN = re.compile(_balanced(_NESTING).encode(), re.DOTALL)
_BRACKETED = re.compile(
    rf'\s*+[\[{{]{_balanced(_NESTING)}[\]}}]'.encode(), re.DOTALL
)
_OPENINGS = re.compile(rb'[\[{]++')
_CLOSINGS = re.compile(rb'[\]}]++')
_SCALAR = re.compile(rb'(?:[^"\[\]{},]++|"(?:[^"\\]++|\\.)*+")*+', re.DOTALL)
_SPACE = re.compile(rb'\s*+')
_KEY = re.compile(rb'\s*+("(?:[^"\\]++|\\.)*+")\s*+:\s*+', re.DOTALL)
_NEXT = re.compile(rb'\s*+([,\]}])')
_CLOSING_OF = {b'[': b']', b'{': b'}'}


async def decode(text: bytes, max_object_bytes: int) -> Any:
    """Return the result of :func:`decoding`, with other work in between."""
    steps = decoding(text, max_object_bytes)
    while True:
        try:
            next(steps)
        except StopIteration as exc:
            return exc.value
        await asyncio.sleep(0)


def decoding(text: bytes, max_object_bytes: int) -> Steps[Any]:
    """Decode a page: an object with ``items`` or ``events``.

    What cannot be read in an object of the page is :data:`UNREADABLE`: its
    whole spec or status, or one field of its metadata. In an object of more
    than *max_object_bytes*, such a value of more bytes is :data:`TOO_LARGE`.

    :raises ValueError: the page itself is not JSON.
    """
    if len(text) <= max_object_bytes:
        try:
            return json.loads(text)
        except (ValueError, RecursionError):
            # Read object by object instead.
            pass
    page = yield from _Page(text, max_object_bytes).read()
    return page


class _Page:
    """Reads a page from its start to its end, each byte about once."""

    def __init__(self, text: bytes, max_object_bytes: int) -> None:
        self._text = text
        self._max_object_bytes = max_object_bytes
        self._at = 0
        self._work = 0

    def read(self) -> Steps[dict[str, Any]]:
        """Return the page; raises ValueError."""
        found = yield from self._members(
            {'items': self._objects, 'events': self._events}
        )
        self._skip_space()
        if self._at != len(self._text):
            raise ValueError('text after the end of the page')
        return found

    def _objects(self) -> Steps[list[Any]]:
        found = yield from self._elements(self._object)
        return found

    def _events(self) -> Steps[list[Any]]:
        found = yield from self._elements(self._event)
        return found

    def _event(self) -> Steps[Any]:
        found = yield from self._members_or_unreadable(
            {'object': self._object}
        )
        return found

    def _object(self) -> Steps[Any]:
        found = yield from self._members_or_unreadable(
            {'metadata': self._metadata}
        )
        return found

    def _metadata(self) -> Steps[Any]:
        found = yield from self._members({})
        return found

    def _members_or_unreadable(
        self, readers: Mapping[str, Callable[[], Steps[Any]]]
    ) -> Steps[Any]:
        """Return the members of a value, :data:`UNREADABLE` without any."""
        start = self._at
        try:
            found = yield from self._members(readers)
        except ValueError:
            self._at = start
            yield from self._skip_value()
            return UNREADABLE
        return found

    def _elements(self, read: Callable[[], Steps[Any]]) -> Steps[list[Any]]:
        """Return the elements of an array; raises ValueError."""
        found = []
        self._expect(b'[')
        if self._try(b']'):
            return found
        while True:
            element = self._whole()
            if element is UNREADABLE:
                element = yield from read()
            found.append(element)
            yield from self._pause()
            if self._ends(b']'):
                return found

    def _members(
        self, readers: Mapping[str, Callable[[], Steps[Any]]]
    ) -> Steps[dict[str, Any]]:
        """Return the members of an object; raises ValueError.

        :param readers: functions for the members that are not read whole.
        """
        found = {}
        self._expect(b'{')
        if self._try(b'}'):
            return found
        while True:
            key = _KEY.match(self._text, self._at)
            if key is None:
                raise ValueError('a member of an object has no name')
            self._at = key.end()
            name = _value(key[1])
            reader = readers.get(name) if isinstance(name, str) else None
            value = yield from reader() if reader else self._value()
            if isinstance(name, str):
                found[name] = value
            if self._ends(b'}'):
                return found

    def _whole(self) -> Any:
        """Return a small value decoded whole; UNREADABLE, not read, else."""
        end = self._at + self._max_object_bytes
        match = _BRACKETED.match(self._text, self._at, end)
        value = UNREADABLE if match is None else _value(match[0])
        if value is not UNREADABLE:
            self._work += match.end() - self._at
            self._at = match.end()
        return value

    def _value(self) -> Steps[Any]:
        start = self._at
        yield from self._skip_value()
        if self._at - start > self._max_object_bytes:
            return TOO_LARGE
        return _value(self._text[start : self._at])

    def _pause(self) -> Steps[None]:
        """Let other work run if there has been enough in this step."""
        if self._work > MAX_BYTES_IN_STEP:
            self._work = 0
            yield

    def _skip_value(self) -> Steps[None]:
        """Go to the end of a value; raises ValueError if it has none."""
        self._skip_space()
        if self._text[self._at : self._at + 1] not in _CLOSING_OF:
            self._at = _SCALAR.match(self._text, self._at).end()
            return
        depth = 0
        while True:
            before = self._at
            openings = _OPENINGS.match(self._text, self._at)
            if openings is not None:
                depth += openings.end() - openings.start()
                self._at = openings.end()
            self._skip_run()
            closings = _CLOSINGS.match(self._text, self._at)
            if closings is not None:
                count = min(depth, closings.end() - closings.start())
                depth -= count
                self._at += count
            if self._at == before:
                raise ValueError('a value does not end')
            self._work += max(BYTES_PER_TOKEN, self._at - before)
            yield from self._pause()
            if not depth:
                return

    def _skip_run(self) -> None:
        """Go past text whose brackets match, as much as fits into a step."""
        end = self._at + MAX_BYTES_IN_STEP
        run = _RUN.match(self._text, self._at, end)
        if run.end() == self._at:
            # A string may be longer.
            run = _RUN.match(self._text, self._at)
        self._at = run.end()

    def _skip_space(self) -> None:
        self._at = _SPACE.match(self._text, self._at).end()

    def _try(self, mark: bytes) -> bool:
        """Go past *mark* if it comes next; return whether it does."""
        self._skip_space()
        is_next = self._text.startswith(mark, self._at)
        self._at += is_next
        return is_next

    def _expect(self, mark: bytes) -> None:
        if not self._try(mark):
            raise ValueError(f'expected {mark!r}')

    def _ends(self, closing: bytes) -> bool:
        """Go past a comma or *closing*; return whether it is the latter."""
        mark = _NEXT.match(self._text, self._at)
        if mark is None or mark[1] not in (b',', closing):
            raise ValueError(f'expected a comma or {closing!r}')
        self._at = mark.end()
        return mark[1] == closing


def _value(text: bytes) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return UNREADABLE
