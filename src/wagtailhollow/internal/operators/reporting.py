"""Commands of the operators' client that report the state of nodes."""

from __future__ import annotations

import asyncio
import collections
import datetime
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from ..store import api
from ..table import model
from . import client as client_module
from . import outcome

POLL_PERIOD_S = 0.25
MAX_NAMES_SHOWN = 5

Answers = Mapping[str, Mapping[str, Any]]


async def fetch_statuses(
    client: client_module.OperatorClient, listed: Iterable[api.HostRow]
) -> dict[str, dict[str, Any]]:
    """Return the status by node; ``error`` for a node that did not answer."""

    async def fetch(row: api.HostRow) -> dict[str, Any]:
        place = {'data_centre': row.data_centre, 'address': row.address}
        try:
            return {**place, **await client.status(row.address)}
        except client_module.PeerUnavailable as exc:
            return {**place, 'role': row.role, 'error': str(exc)}

    listed = list(listed)
    answers = await asyncio.gather(*map(fetch, listed))
    return {
        row.node: answer for row, answer in zip(listed, answers, strict=True)
    }


async def nodes(client: client_module.OperatorClient) -> outcome.Outcome:
    """Show all nodes, and whether they answer and are ready."""
    answers = await fetch_statuses(client, await client.hosts())
    lines = [
        f'{node}\t{item["role"]}\t{item["data_centre"]}\t{_health_text(item)}'
        for node, item in sorted(answers.items())
    ]
    return _list_outcome('nodes', answers, lines)


async def targets(client: client_module.OperatorClient) -> outcome.Outcome:
    """Show the state and load of all targets."""
    agents = [row for row in await client.hosts() if row.role == 'agent']
    answers = await fetch_statuses(client, agents)
    by_target = {
        row.target: {'service': row.service, **answers[row.node]}
        for row in agents
    }
    lines = [
        f'{name}\t{item["service"]}\t{item["data_centre"]}\t'
        + item.get('error', _load_text(item))
        for name, item in sorted(by_target.items())
    ]
    return _list_outcome('targets', by_target, lines)


async def groups(client: client_module.OperatorClient) -> outcome.Outcome:
    """Show the ready ranks, lease version and map epoch of each group."""
    ranks = collections.defaultdict(list)
    for row in await client.hosts():
        if row.group:
            ranks[row.group].append(row)
    stored = {item.key: item for item in await client.store.list('groups/')}
    document = {}
    for name, rows in sorted(ranks.items()):
        answers = await fetch_statuses(client, rows)
        lease = stored.get(f'groups/{name}/lease')
        placement = stored.get(f'groups/{name}/map')
        document[name] = {
            'ranks': len(rows),
            'ready_ranks': sum(
                bool(item.get('ready')) for item in answers.values()
            ),
            'fencing': lease.version if lease else 0,
            'epoch': _epoch(placement),
        }
    lines = [
        f'{name}\t{item["ready_ranks"]} of {item["ranks"]} ranks ready\t'
        f'fencing {item["fencing"]}\tepoch {item["epoch"]}'
        for name, item in document.items()
    ]
    return _list_outcome('groups', document, lines)


async def limits(client: client_module.OperatorClient) -> outcome.Outcome:
    """Show the limits of each organisation and the budget reserved today."""
    rows = (await client.table()).value['rows']
    today = datetime.datetime.now(datetime.UTC).date().isoformat()
    stored = {
        item.key.split('/')[1]: item.value
        for item in await client.store.list('budgets/')
        if item.key.endswith(f'/{today}')
    }
    columns = ('requests_per_s', 'tokens_per_day', 'max_concurrent')
    document = {
        key.partition('/')[2]: {
            **{column: row.get(column, 0) for column in columns},
            'budget': stored.get(key.partition('/')[2]),
        }
        for key, row in sorted(rows.items())
        if key.startswith('organisation/')
    }
    lines = [
        f'{name}\t'
        + '\t'.join(f'{column} {item[column] or "-"}' for column in columns)
        + f'\treserved today {item["budget"]}'
        for name, item in document.items()
    ]
    return _list_outcome('limits', document, lines)


async def versions(client: client_module.OperatorClient) -> outcome.Outcome:
    """Show the document versions in force at each node."""
    answers = await fetch_statuses(client, await client.hosts())
    document = {
        node: item.get('versions', {'error': item.get('error')})
        for node, item in answers.items()
    }
    lines = [
        f'{node}\t' + '\t'.join(f'{key} {x}' for key, x in item.items())
        for node, item in sorted(document.items())
    ]
    return _list_outcome('versions', document, lines)


async def wait_until_in_force(
    client: client_module.OperatorClient,
    version: int,
    timeout_s: float,
    progress: Callable[[str], None],
) -> outcome.Outcome:
    """Wait until every listed node has the table in *version* or newer.

    Entries know the versions of their agents from heartbeats, which saves a
    connection to each agent. Only agents that no entry reports are queried
    directly.
    """
    started_s = time.monotonic()
    listed = await client.hosts()
    entries = [row for row in listed if row.role == 'entry']
    pending = {row.node: row for row in listed}
    while True:
        table_versions, answers = await _fetch_table_versions(
            client, entries, pending
        )
        pending = {
            node: row
            for node, row in pending.items()
            if table_versions.get(node, 0) < version
        }
        elapsed_s = time.monotonic() - started_s
        done = len(listed) - len(pending)
        progress(
            f'{done} of {len(listed)} nodes after {elapsed_s:.1f} s'
            + _pending_text(pending)
        )
        if not pending:
            return outcome.Outcome(
                outcome.ExitCode.DONE,
                {'version': version, 'nodes': done, 'seconds': elapsed_s},
                f'version {version} is in force at {done} nodes',
            )
        if elapsed_s > timeout_s:
            return outcome.failure(
                outcome.ExitCode.NOT_IN_FORCE,
                f'version {version} is not confirmed by {len(pending)} of '
                f'{len(listed)} nodes',
                nodes=[
                    _unconfirmed_text(
                        node, answers.get(node, {}), table_versions
                    )
                    for node in pending
                ],
            )
        await asyncio.sleep(POLL_PERIOD_S)


async def _fetch_table_versions(
    client: client_module.OperatorClient,
    entries: Iterable[api.HostRow],
    pending: Mapping[str, api.HostRow],
) -> tuple[dict[str, int], Answers]:
    """Return the table version by node and the answers fetched."""
    answers = await fetch_statuses(client, entries)
    table_versions = {
        node: number
        for answer in answers.values()
        for node, number in answer.get('agent_table_versions', {}).items()
    }
    unreported = [
        row
        for node, row in pending.items()
        if row.role != 'entry' and node not in table_versions
    ]
    answers.update(await fetch_statuses(client, unreported))
    table_versions.update(
        (node, _table_version(answer))
        for node, answer in answers.items()
        if 'versions' in answer
    )
    return table_versions, answers


def _table_version(answer: Mapping[str, Any]) -> int:
    return answer.get('versions', {}).get(model.TABLE_DOCUMENT, 0)


def _pending_text(pending: Iterable[str]) -> str:
    names = sorted(pending)
    more = ', ...' if len(names) > MAX_NAMES_SHOWN else ''
    shown = ', '.join(names[:MAX_NAMES_SHOWN])
    return f', waiting for {shown}{more}' if names else ''


def _unconfirmed_text(
    node: str, answer: Mapping[str, Any], table_versions: Mapping[str, int]
) -> str:
    return f'{node}: ' + answer.get(
        'error', f'has version {table_versions.get(node, 0)}'
    )


def _health_text(item: Mapping[str, Any]) -> str:
    if 'error' in item:
        return f'no answer: {item["error"]}'
    return 'ready' if item['ready'] else item['not_ready_reason']


def _load_text(item: Mapping[str, Any]) -> str:
    return (
        f'{item.get("state")}\t{item.get("running")} running, '
        f'{item.get("queued")} queued, cap {item.get("cap")}'
    )


def _epoch(placement: api.StoredObject | None) -> int:
    value = placement.value if placement else None
    return value.get('epoch', 0) if isinstance(value, Mapping) else 0


def _list_outcome(
    name: str, document: Mapping[str, Any], lines: list[str]
) -> outcome.Outcome:
    return outcome.Outcome(
        outcome.ExitCode.DONE,
        {name: document},
        '\n'.join(lines) or f'no {name}',
    )
