"""A replicated document that only ever moves to higher versions."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping
from typing import Any

Rows = Mapping[str, Mapping[str, Any]]

HISTORY_LENGTH = 64


@dataclasses.dataclass(frozen=True)
class Change:
    """Rows that differ between two versions.

    :ivar from_version: 0 means that *rows* is the whole document.
    """

    from_version: int
    to_version: int
    rows: Rows
    removed: tuple[str, ...]


class VersionedDocument:
    """The newest known version of one document, with recent changes.

    The version never decreases: an older version that arrives late, from a
    peer or from a platform that was restored from a backup, is ignored.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 0
        self.rows: Rows = {}
        self._changes: list[Change] = []
        self._listeners: list[Callable[[Change], None]] = []
        self._version_changed = asyncio.Event()

    def on_change(self, listener: Callable[[Change], None]) -> None:
        """Call *listener* after each change of version."""
        self._listeners.append(listener)

    def replace(self, version: int, rows: Rows) -> bool:
        """Take a whole document; return whether it was newer."""
        if version <= self.version:
            return False
        changed = {
            key: row for key, row in rows.items() if self.rows.get(key) != row
        }
        removed = tuple(key for key in self.rows if key not in rows)
        change = Change(self.version, version, changed, removed)
        self._commit(change, dict(rows))
        return True

    def apply(self, change: Change) -> bool:
        """Take a change; return whether it fitted and was newer."""
        if change.to_version <= self.version:
            return False
        if change.from_version == 0:
            return self.replace(change.to_version, change.rows)
        if change.from_version != self.version:
            return False
        rows = {**self.rows, **change.rows}
        for key in change.removed:
            rows.pop(key, None)
        self._commit(change, rows)
        return True

    def changes_since(self, version: int) -> Change:
        """Return the change from *version* to now, whole if not kept."""
        start = next(
            (
                index
                for index, change in enumerate(self._changes)
                if change.from_version == version
            ),
            None,
        )
        if start is None or version == 0:
            return Change(0, self.version, self.rows, ())
        return _merge(self._changes[start:], self.rows)

    def last_change(self) -> Change | None:
        """Return the most recent change, or None before the first."""
        return self._changes[-1] if self._changes else None

    async def wait_for(self, version: int) -> None:
        """Wait until the document is at *version* or newer."""
        while self.version < version:
            await self._version_changed.wait()

    def _commit(self, change: Change, rows: Rows) -> None:
        self.rows = rows
        self.version = change.to_version
        self._changes = [*self._changes, change][-HISTORY_LENGTH:]
        self._version_changed.set()
        self._version_changed = asyncio.Event()
        for listener in self._listeners:
            listener(change)


def _merge(changes: Iterable[Change], rows: Rows) -> Change:
    changes = list(changes)
    touched = {
        key for change in changes for key in (*change.rows, *change.removed)
    }
    return Change(
        changes[0].from_version,
        changes[-1].to_version,
        {key: rows[key] for key in touched if key in rows},
        tuple(sorted(key for key in touched if key not in rows)),
    )
