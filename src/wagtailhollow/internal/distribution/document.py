"""A replicated document whose version only increases."""

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

    :ivar from_version: 0 if *rows* holds all rows of the document.
    """

    from_version: int
    to_version: int
    rows: Rows
    removed: tuple[str, ...]


class VersionedDocument:
    """The newest known version of a document and its recent changes.

    The version never decreases: older versions are ignored, whether they come
    from a slow peer or from a platform that was restored from a backup.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.version = 0
        self.rows: Rows = {}
        self._changes: list[Change] = []
        self._listeners: list[Callable[[Change], None]] = []
        self._version_changed = asyncio.Event()

    def on_change(self, listener: Callable[[Change], None]) -> None:
        """Register *listener* to be called after each new version."""
        self._listeners.append(listener)

    def replace(self, version: int, rows: Rows) -> bool:
        """Apply a whole document; return whether it was newer."""
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
        """Apply a change; return whether it was newer and applicable.

        A change is applicable if it starts from the present version.
        """
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
        """Return the change from *version* to the present version.

        It holds the whole document if the history does not reach back.
        """
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
        """Return the latest change, or None if there is none yet."""
        return self._changes[-1] if self._changes else None

    async def wait_for(self, version: int) -> None:
        """Wait until the document has reached *version*."""
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
    changed_keys = {
        key for change in changes for key in (*change.rows, *change.removed)
    }
    return Change(
        changes[0].from_version,
        changes[-1].to_version,
        {key: rows[key] for key in changed_keys if key in rows},
        tuple(sorted(key for key in changed_keys if key not in rows)),
    )
