"""Commands of the operators' client that show or edit the table."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Mapping
from typing import Any

import json5

from ..settings import describe
from ..store import api
from ..table import edits, model
from . import client as client_module
from . import outcome, table_file

_EXIT_CODES = {
    edits.EditFailure.INVALID: outcome.ExitCode.INVALID,
    edits.EditFailure.CONFLICT: outcome.ExitCode.CONFLICT,
    edits.EditFailure.TOO_LARGE: outcome.ExitCode.INVALID,
    edits.EditFailure.UNAVAILABLE: outcome.ExitCode.UNAVAILABLE,
    edits.EditFailure.UNSETTLED: outcome.ExitCode.UNSETTLED,
}


async def show(
    client: client_module.OperatorClient, prefix: str
) -> outcome.Outcome:
    """Show the table, the rows of one kind or one row."""
    stored = await client.table()
    document = table_file.document(
        stored.version, stored.value['rows'], prefix
    )
    if prefix and not document['rows']:
        return outcome.failure(
            outcome.ExitCode.INVALID, f'no row or kind {prefix!r}'
        )
    return outcome.Outcome(
        outcome.ExitCode.DONE, document, json.dumps(document, indent=2)
    )


def columns(kind: str | None) -> outcome.Outcome:
    """Show the columns of one kind of row, or of all kinds."""
    document = {
        name: {
            item.name: dataclasses.asdict(item)
            for item in describe.columns(name)
        }
        for name in model.ROW_TYPES
        if kind in (None, name)
    }
    lines = [
        f'{name}.{column}\t{item["type"]}\t{item["default"]}\t'
        f'{item["allowed"]}'
        for name, items in document.items()
        for column, item in items.items()
    ]
    return outcome.Outcome(
        outcome.ExitCode.DONE, {'columns': document}, '\n'.join(lines)
    )


def validate(path: str) -> outcome.Outcome:
    """Check a table file without contacting the platform."""
    result = table_file.read(path)
    if result.is_error():
        return _file_failure(result.error)
    return outcome.Outcome(
        outcome.ExitCode.DONE,
        {'valid': True, 'rows': len(result.ok.rows)},
        f'{path}: ok, {len(result.ok.rows)} rows',
    )


async def diff(
    client: client_module.OperatorClient, path: str
) -> outcome.Outcome:
    """Show what ``apply`` would change."""
    result = table_file.read(path)
    if result.is_error():
        return _file_failure(result.error)
    stored = await client.table()
    rows = stored.value['rows']
    edit = table_file.edit(result.ok, rows)
    items = table_file.differences(rows, edit.rows)
    conflicts = [
        key
        for key in edit.rows
        if edits.digest(rows.get(key)) != edit.seen[key]
    ]
    lines = table_file.difference_lines(items) or ['no differences']
    lines += [f'{key}: changed by somebody else' for key in conflicts]
    return outcome.Outcome(
        outcome.ExitCode.CONFLICT if conflicts else outcome.ExitCode.DONE,
        {
            'version': stored.version,
            'differences': items,
            'conflicts': conflicts,
        },
        '\n'.join(lines),
    )


async def apply_file(
    client: client_module.OperatorClient, path: str
) -> outcome.Outcome:
    """Apply the rows that the operator has edited in a table file."""
    result = table_file.read(path)
    if result.is_error():
        return _file_failure(result.error)
    stored = await client.table()
    return await _apply_edit(
        client, stored, table_file.edit(result.ok, stored.value['rows'])
    )


async def set_row(
    client: client_module.OperatorClient,
    key: str,
    columns: Mapping[str, Any] | None,
) -> outcome.Outcome:
    """Set columns of one row, or remove it if *columns* is None."""
    stored = await client.table()
    rows = stored.value['rows']
    if columns is None and key not in rows:
        return outcome.failure(outcome.ExitCode.INVALID, f'no row {key!r}')
    changes = edits.merge_columns(rows, {key: columns})
    return await _apply_edit(client, stored, edits.make_edit(rows, changes))


async def set_state(
    client: client_module.OperatorClient,
    kind: str,
    name: str,
    state: model.ServiceState,
) -> outcome.Outcome:
    """Withdraw a data centre or a target, or bring it back."""
    stored = await client.table()
    key = model.row_key(kind, name)
    rows = stored.value['rows']
    if key not in rows:
        known = await _known_names(client, kind)
        # A withdrawal with a mistyped name must not be reported as done.
        if known is not None and name not in known:
            return outcome.failure(
                outcome.ExitCode.INVALID,
                f'got the {kind} {name!r}; allowed: '
                + ', '.join(sorted(known)),
            )
    changes = edits.merge_columns(rows, {key: {'state': state.value}})
    return await _apply_edit(client, stored, edits.make_edit(rows, changes))


async def withdraw_direct(
    client: client_module.OperatorClient, kind: str, name: str, address: str
) -> outcome.Outcome:
    """Withdraw a row at the node at *address* and its peers.

    Does not need the platform.
    """
    key = model.row_key(kind, name)
    answer = await client.withdraw_direct(address, key)
    if key not in answer['direct_withdrawals']:
        return outcome.failure(
            outcome.ExitCode.CONFLICT,
            f'the table at {address} has since changed {key}',
        )
    return outcome.Outcome(
        outcome.ExitCode.DONE,
        answer,
        f'{key} is withdrawn at {address} and its peers until a newer table '
        'version changes or removes the row',
    )


def parse_columns(items: list[str]) -> dict[str, Any]:
    """Parse ``column=value`` items.

    A value that is not valid JSON is taken as text.

    :raises ValueError: an item has no column name or no ``=``.
    """
    columns = {}
    for item in items:
        column, separator, text = item.partition('=')
        if not separator or not column:
            raise ValueError(f'got {item!r}; allowed: COLUMN=VALUE')
        try:
            columns[column] = json5.loads(text, allow_duplicate_keys=False)
        except ValueError:
            columns[column] = text
    return columns


async def _apply_edit(
    client: client_module.OperatorClient,
    stored: api.StoredObject,
    edit: edits.Edit,
) -> outcome.Outcome:
    if not edit.rows:
        return outcome.Outcome(
            outcome.ExitCode.DONE,
            {'version': stored.version, 'changes': []},
            f'no changes to version {stored.version}',
        )
    items = table_file.differences(stored.value['rows'], edit.rows)
    # Fetched before the edit, as the platform may go down right after it.
    try:
        host_rows = await client.hosts()
    except api.PlatformUnavailable:
        host_rows = []
    result = await edits.apply(client.store, edit, client.cfg.timeout_s)
    if result.is_error():
        return _edit_failure(result.error)
    accepted = result.ok
    confirmed = await client.send_to_relays(accepted, host_rows)
    document = {
        'version': accepted.version,
        'change_id': accepted.change_id,
        'changes': items,
        'relays_told': confirmed,
    }
    lines = table_file.difference_lines(items)
    lines.append(f'accepted as version {accepted.version}')
    return outcome.Outcome(outcome.ExitCode.DONE, document, '\n'.join(lines))


async def _known_names(
    client: client_module.OperatorClient, kind: str
) -> set[str] | None:
    try:
        host_rows = await client.hosts()
    except api.PlatformUnavailable:
        return None
    if kind == 'target':
        return {row.target for row in host_rows if row.target}
    return {row.data_centre for row in host_rows}


def _file_failure(refused: table_file.FileErrors) -> outcome.Outcome:
    return outcome.failure(
        outcome.ExitCode.INVALID,
        'the table file is refused',
        rows=list(refused.lines),
    )


def _edit_failure(refused: edits.EditError) -> outcome.Outcome:
    details = {}
    if refused.rows:
        details['rows'] = [str(item) for item in refused.rows]
    if refused.conflicts:
        details['conflicts'] = [
            f'{item.row}: the table has {_row_text(item.current)}, the edit '
            f'has {_row_text(item.wanted)}'
            for item in refused.conflicts
        ]
    return outcome.failure(
        _EXIT_CODES[refused.failure],
        f'{refused.message} (change {refused.change_id})',
        **details,
    )


def _row_text(row: edits.Row | None) -> str:
    return 'no row' if row is None else json.dumps(edits.operator_columns(row))
