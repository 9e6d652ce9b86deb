"""Edits of the table: compare-and-swap on the changed rows.

An edit contains the rows that it changes and, for each, a digest of the row as
the operator saw it. It is reapplied to newer versions of the table until it is
written. A row that has changed since the operator saw it is a conflict.

The table contains the ids of the latest edits. If the answer to a write is
lost, a read tells whether the edit took effect: the table then contains its
id, even if there were other edits since. A write is only resent after such a
read and based on the version that was read, so that it takes effect at most
once.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import hashlib
import json
import random
import secrets
import time
from collections.abc import Iterable, Mapping
from typing import Any

import expression

from ..store import api, confirmed_put
from . import model, validation

Row = Mapping[str, Any]
Rows = Mapping[str, Row]

RECENT_CHANGES = 256
"""Number of edit ids kept: the edits of 14 minutes at 0.3 edits/s."""

SIZE_LIMIT_BYTES = 950_000
"""Limit of the size of the table after an edit.

Every edit is checked against it, withdrawals too. The margin to the platform's
limit of 1 MB is meant to keep a full table editable, as a withdrawal adds up
to 300 bytes.
"""

RETRY_MIN_S = 0.05
RETRY_MAX_S = 0.5


class EditFailure(enum.Enum):
    """Why an edit was not accepted, or why its outcome is unknown.

    ``UNAVAILABLE``: not written in time, because the platform did not answer
    or other edits came first. ``UNSETTLED``: sent, but it is unknown whether
    it took effect.
    """

    INVALID = 'invalid'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too_large'
    UNAVAILABLE = 'unavailable'
    UNSETTLED = 'unsettled'


@dataclasses.dataclass(frozen=True)
class RowConflict:
    """A row that has changed since the operator saw it."""

    row: str
    current: Row | None
    wanted: Row | None


@dataclasses.dataclass(frozen=True)
class EditError:
    """An edit that was not accepted, or whose outcome is unknown.

    :ivar change_id: id of the edit, by which it can be found in the table.
    :ivar message: message for the operator.
    """

    failure: EditFailure
    change_id: str
    message: str
    rows: tuple[validation.RowError, ...] = ()
    conflicts: tuple[RowConflict, ...] = ()


@dataclasses.dataclass(frozen=True)
class Accepted:
    """An edit that is known to have taken effect.

    :ivar version: a version of the table that contains the edit.
    :ivar rows: all rows of that version.
    """

    version: int
    change_id: str
    rows: Rows


@dataclasses.dataclass(frozen=True)
class Edit:
    """Rows to write, with the digests of the rows that they replace.

    :ivar rows: complete new rows by row key; None removes a row.
    :ivar seen: :func:`digest` of each row as the operator saw it.
    """

    rows: Mapping[str, Row | None]
    seen: Mapping[str, str]
    change_id: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(8)
    )


def digest(row: Row | None) -> str:
    """Return a short digest of *row*, or '' for a row that does not exist."""
    if row is None:
        return ''
    text = json.dumps(
        operator_columns(row), sort_keys=True, separators=(',', ':')
    )
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def operator_columns(row: Row) -> dict[str, Any]:
    """Return *row* with only the columns that operators set."""
    return {
        column: value
        for column, value in row.items()
        if column != model.CHANGE_ID_COLUMN
    }


def merge_columns(
    rows: Rows, changes: Mapping[str, Row | None]
) -> Mapping[str, Row | None]:
    """Return complete rows for *changes*, which hold only some columns."""
    return {
        key: None
        if row is None
        else {**operator_columns(rows.get(key, {})), **row}
        for key, row in changes.items()
    }


def make_edit(current: Rows, changes: Mapping[str, Row | None]) -> Edit:
    """Return an edit based on the rows in *current*."""
    return Edit(changes, {key: digest(current.get(key)) for key in changes})


async def apply(
    store: api.ObjectStore, edit: Edit, timeout_s: float
) -> expression.Result[Accepted, EditError]:
    """Write *edit* and determine whether it was accepted."""
    if errors := validation.check_rows(_written_rows(edit.rows)):
        return _error(
            edit, EditFailure.INVALID, _error_count(errors), rows=tuple(errors)
        )
    deadline_s = time.monotonic() + timeout_s
    delay_s = RETRY_MIN_S
    sent_version: int | None = None
    message = 'no time left to read the table from the platform'
    while time.monotonic() < deadline_s:
        try:
            found = await store.get(model.TABLE_KEY)
            if found is not None and is_applied(found.value, edit.change_id):
                return _accepted(edit, found)
            version = found.version if found is not None else api.ABSENT
            if version != sent_version:
                # A write based on an older version can no longer take effect.
                sent_version = None
            prepared = _table_with(edit, found)
            if isinstance(prepared, EditError):
                return expression.Error(prepared)
            sent_version = version
            written = await confirmed_put.confirmed_put(
                store,
                model.TABLE_KEY,
                prepared,
                version,
                lambda value: is_applied(value, edit.change_id),
            )
            return _accepted(edit, written)
        except api.Conflict:
            # Another edit came first, or an earlier write of this edit took
            # effect; the next read tells which.
            message = 'other edits came first at every attempt'
        except api.PlatformUnavailable as exc:
            message = str(exc)
        await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
        delay_s = min(delay_s * 2, RETRY_MAX_S)
    if sent_version is not None:
        return _error(edit, EditFailure.UNSETTLED, message)
    return _error(edit, EditFailure.UNAVAILABLE, message)


def is_applied(value: Any, change_id: str) -> bool:
    """Return whether the table object contains the edit *change_id*."""
    return isinstance(value, Mapping) and change_id in value.get(
        'recent_changes', ()
    )


def _table_with(
    edit: Edit, found: api.StoredObject | None
) -> dict[str, Any] | EditError:
    """Return the table object with *edit* applied, or the error."""
    value = found.value if found is not None else {}
    rows = dict(value.get('rows', {}))
    conflicts = tuple(
        RowConflict(key, rows.get(key), row)
        for key, row in edit.rows.items()
        if digest(rows.get(key)) != edit.seen.get(key, '')
    )
    if conflicts:
        names = ', '.join(conflict.row for conflict in conflicts)
        return EditError(
            EditFailure.CONFLICT,
            edit.change_id,
            f'rows changed by other edits since you read them: {names}',
            conflicts=conflicts,
        )
    for key, row in edit.rows.items():
        if row is None:
            rows.pop(key, None)
        else:
            rows[key] = _with_change_id(key, row, edit.change_id)
    if errors := validation.check_uniqueness(rows):
        return EditError(
            EditFailure.INVALID,
            edit.change_id,
            _error_count(errors),
            rows=tuple(errors),
        )
    changes = [*value.get('recent_changes', ()), edit.change_id]
    result = {'rows': rows, 'recent_changes': changes[-RECENT_CHANGES:]}
    size = len(json.dumps(result, separators=(',', ':')).encode())
    if size > SIZE_LIMIT_BYTES:
        return EditError(
            EditFailure.TOO_LARGE,
            edit.change_id,
            f'the table would have {size} bytes; allowed: at most '
            f'{SIZE_LIMIT_BYTES}; remove rows or shorten columns',
        )
    return result


def _with_change_id(key: str, row: Row, change_id: str) -> dict[str, Any]:
    # The column changes with every edit, so that nodes also notice an edit
    # that repeats the values of the row: it ends a direct withdrawal.
    result = operator_columns(row)
    if key.partition('/')[0] in model.WITHDRAWABLE_KINDS:
        result[model.CHANGE_ID_COLUMN] = change_id
    return result


def _written_rows(rows: Mapping[str, Row | None]) -> Rows:
    return {key: row for key, row in rows.items() if row is not None}


def _accepted(
    edit: Edit, found: api.StoredObject
) -> expression.Result[Accepted, EditError]:
    return expression.Ok(
        Accepted(found.version, edit.change_id, found.value['rows'])
    )


def _error_count(errors: Iterable[validation.RowError]) -> str:
    errors = list(errors)
    word = 'error' if len(errors) == 1 else 'errors'
    return f'{len(errors)} {word} in the rows'


def _error(
    edit: Edit,
    failure: EditFailure,
    message: str,
    rows: tuple[validation.RowError, ...] = (),
) -> expression.Result[Accepted, EditError]:
    return expression.Error(
        EditError(failure, edit.change_id, message, rows=rows)
    )
