"""Withdrawals that operators send directly to nodes.

They serve regions that are cut off from the platform and from all nodes that
have the edited table. A direct withdrawal overrides the table until a newer
version of the table changes the row.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

from absl import logging

from ... import errors
from ..table import model
from . import document

MAX_DIRECT_ROWS = 1_000


class DirectWithdrawals:
    """Rows that are withdrawn at this node independently of the table."""

    def __init__(
        self,
        table: document.VersionedDocument,
        on_change: Callable[[], None],
    ) -> None:
        self._table = table
        self._on_change = on_change
        self._versions: dict[str, int] = {}

    def add(self, key: str, table_version: int) -> bool:
        """Withdraw the row *key*; return whether the withdrawal was added.

        It is not if this node already has it, or if a newer version of the
        table may have changed the row.

        :param table_version: table version of the node that the operator
            reached; a newer table that changes the row ends the withdrawal.
        :raises Refusal: *key* cannot be withdrawn, or there are too many
            direct withdrawals.
        """
        kind, _, name = key.partition('/')
        if kind not in model.WITHDRAWABLE_KINDS or not name:
            raise errors.Refusal(
                errors.ErrorKind.BAD_REQUEST,
                f'got the row {key!r}; allowed: '
                + ' or '.join(f'{k}/NAME' for k in model.WITHDRAWABLE_KINDS),
            )
        if self._versions.get(key, -1) >= table_version:
            return False
        if self._may_have_changed_since(key, table_version):
            return False
        if len(self._versions) >= MAX_DIRECT_ROWS:
            raise errors.Refusal(
                errors.ErrorKind.OVERLOADED,
                f'{MAX_DIRECT_ROWS} rows are already withdrawn directly',
            )
        self._versions[key] = table_version
        logging.warning('%s withdrawn directly by an operator', key)
        self._on_change()
        return True

    def table_changed(self, change: document.Change) -> None:
        """End the withdrawals of rows that a newer table has changed."""
        for key in (*change.rows, *change.removed):
            if self._versions.get(key, change.to_version) < change.to_version:
                logging.info(
                    'direct withdrawal of %s ended by table version %d',
                    key,
                    change.to_version,
                )
                del self._versions[key]

    def overlay(self, rows: document.Rows) -> document.Rows:
        """Return *rows* with the direct withdrawals applied."""
        if not self._versions:
            return rows
        withdrawn = {
            key: {
                **rows.get(key, {}),
                'state': model.ServiceState.WITHDRAWN.value,
            }
            for key in self._versions
        }
        return {**rows, **withdrawn}

    def in_force(self) -> Mapping[str, int]:
        """Return the table version of each withdrawal, by row key."""
        return dict(self._versions)

    def encoded(self) -> bytes:
        """Encode the withdrawals as the argument of a StatusRequest."""
        return json.dumps({'rows': self._versions}).encode()

    def apply_argument(self, argument: bytes | None) -> bool:
        """Apply the argument of a StatusRequest; return if any row was added.

        The version null stands for the table version of this node.

        :raises Refusal: BAD_REQUEST.
        """
        results = [
            self.add(key, self._table.version if version is None else version)
            for key, version in _parse_rows(argument).items()
        ]
        return any(results)

    def _may_have_changed_since(self, key: str, version: int) -> bool:
        if self._table.version <= version:
            return False
        # Holds every row if the history does not reach back to *version*.
        change = self._table.changes_since(version)
        return key in change.rows or key in change.removed


def _parse_rows(argument: bytes | None) -> dict[str, Any]:
    try:
        rows = json.loads(argument or b'')['rows']
        if all(
            version is None or type(version) is int
            for version in rows.values()
        ):
            return rows
    except (ValueError, KeyError, TypeError, AttributeError):
        pass
    raise errors.Refusal(
        errors.ErrorKind.BAD_REQUEST,
        'expected {"rows": {"<kind>/<name>": <table version or null>}}',
    )
