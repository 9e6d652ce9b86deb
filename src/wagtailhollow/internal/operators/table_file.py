"""Table files, which ``show`` writes and ``apply`` reads.

``{"version": 7, "seen": {"<kind>/<name>": "<digest>"}, "rows": {...}}`` in
JSON with comments. ``seen`` holds the digest of each row at the time of
``show``. By it, ``apply`` detects which rows the operator has edited and
whether somebody else has changed them since. A file without ``seen`` sets the
rows that it names and removes none.
"""

from __future__ import annotations

import dataclasses
import pathlib
from collections.abc import Iterable, Mapping
from typing import Any

import expression
import json5

from ..table import edits, validation

_KEYS = ('version', 'seen', 'rows')


@dataclasses.dataclass(frozen=True)
class TableFile:
    """Rows of a table file, and their digests at the time of ``show``."""

    rows: edits.Rows
    seen: Mapping[str, str] | None


@dataclasses.dataclass(frozen=True)
class FileErrors:
    """Why a table file was refused; one line per error."""

    lines: tuple[str, ...]


def document(
    version: int, rows: edits.Rows, prefix: str = ''
) -> dict[str, Any]:
    """Return a table file as JSON values.

    :param prefix: a kind or a row key to select; '' selects all rows.
    """
    shown = {
        key: edits.operator_columns(rows[key])
        for key in sorted(rows)
        if key == prefix or key.startswith(f'{prefix}/') or not prefix
    }
    seen = {key: edits.digest(row) for key, row in shown.items()}
    return {'version': version, 'seen': seen, 'rows': shown}


def read(path: str) -> expression.Result[TableFile, FileErrors]:
    """Return the contents of a table file, or all errors found in it."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        parsed = json5.loads(text, allow_duplicate_keys=False)
    except (OSError, ValueError, RecursionError) as exc:
        return _file_errors(path, [f'got {exc}; allowed: JSON with comments'])
    if not isinstance(parsed, dict) or not isinstance(
        parsed.get('rows'), dict
    ):
        return _file_errors(
            path, ['got no object "rows"; allowed: {"rows": {...}}']
        )
    unknown = sorted(parsed.keys() - set(_KEYS))
    if unknown:
        allowed = ', '.join(_KEYS)
        return _file_errors(
            path,
            [
                f'{key}: got an unknown key; allowed: {allowed}'
                for key in unknown
            ],
        )
    seen = parsed.get('seen')
    if seen is not None and not _is_digest_map(seen):
        return _file_errors(
            path,
            ['seen: allowed: an object that maps each row key to its digest'],
        )
    rows = parsed['rows']
    problems = [
        *validation.check_rows(rows),
    ] or list(validation.check_uniqueness(rows))
    if problems:
        return _file_errors(path, map(str, problems))
    return expression.Ok(TableFile(rows, seen))


def edit(file: TableFile, current: edits.Rows) -> edits.Edit:
    """Return the edit that the operator made relative to ``show``.

    Without ``seen``, the edit is relative to the rows in *current*.
    """
    if file.seen is None:
        changes = {
            key: row
            for key, row in file.rows.items()
            if edits.digest(row) != edits.digest(current.get(key))
        }
        return edits.make_edit(current, changes)
    changes = {
        key: file.rows.get(key)
        for key in sorted({*file.rows, *file.seen})
        if edits.digest(file.rows.get(key)) != file.seen.get(key, '')
    }
    return edits.Edit(
        changes, {key: file.seen.get(key, '') for key in changes}
    )


def differences(
    current: edits.Rows, changes: Mapping[str, edits.Row | None]
) -> list[dict[str, Any]]:
    """Return one item per column that *changes* would modify."""
    return [
        {'row': key, 'column': column, 'from': before, 'to': after}
        for key, row in changes.items()
        for column, before, after in _column_differences(current.get(key), row)
    ]


def difference_lines(items: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return the differences as text, one line each."""
    return [
        f'{item["row"]}: {item["column"] or "row"}: '
        f'{validation.format_value(item["from"])} -> '
        f'{validation.format_value(item["to"])}'
        for item in items
    ]


def _column_differences(
    before: edits.Row | None, after: edits.Row | None
) -> list[tuple[str, Any, Any]]:
    if before is None or after is None:
        old = None if before is None else edits.operator_columns(before)
        return [] if old == after else [('', old, after)]
    return [
        (column, before.get(column), after.get(column))
        for column in sorted({*edits.operator_columns(before), *after})
        if before.get(column) != after.get(column)
    ]


def _is_digest_map(seen: Any) -> bool:
    return isinstance(seen, dict) and all(
        isinstance(value, str) for value in seen.values()
    )


def _file_errors(
    path: str, lines: Iterable[str]
) -> expression.Result[TableFile, FileErrors]:
    return expression.Error(FileErrors(tuple(f'{path}: {x}' for x in lines)))
