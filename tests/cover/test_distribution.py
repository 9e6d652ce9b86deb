"""Versions, relays, initial tables and direct withdrawals, without sockets."""

from __future__ import annotations

import asyncio

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailhollow import errors
from wagtailhollow.internal.distribution import (
    document,
    initial_table,
    overrides,
    source,
)
from wagtailhollow.internal.membership import relays, rendezvous, subset
from wagtailhollow.internal.store import api
from wagtailhollow.internal.wire import auth
from wagtailhollow.internal.wire.gen import ttypes

BOUNDED = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=150, database=None
)
rows = st.dictionaries(
    st.sampled_from('abcd'), st.fixed_dictionaries({'v': st.integers(0, 3)})
)


def entry_host(number, data_centre='dc-a'):
    name = f'entry-{data_centre}-{number}'
    return api.HostRow(name, 'entry', data_centre, f'{name}:1')


def agent_host(number, data_centre):
    name = f'agent-{data_centre}-{number}'
    return api.HostRow(
        name, 'agent', data_centre, f'{name}:1', service='reports'
    )


def identity(node, data_centre='dc-a'):
    return auth.Identity(
        node, ttypes.Role.ENTRY, data_centre, 'demo', 1, f'{node}:1'
    )


@BOUNDED
@hypothesis.given(st.lists(st.tuples(st.integers(1, 9), rows), max_size=12))
def test_version_never_decreases(arrivals):
    """Guards against a table that reverts when an older version arrives."""
    item = document.VersionedDocument('table')
    newest = (0, {})
    for version, content in arrivals:
        item.replace(version, content)
        newest = max(newest, (version, content), key=lambda pair: pair[0])
        assert (item.version, item.rows) == newest


@BOUNDED
@hypothesis.given(st.lists(rows, min_size=1, max_size=8), st.data())
def test_change_since_any_version_results_in_the_same_rows(contents, data):
    """Guards against deltas that miss changed or removed rows."""
    source = document.VersionedDocument('table')
    copies = []
    for version, content in enumerate(contents, 1):
        source.replace(version, content)
        copy = document.VersionedDocument('table')
        copy.replace(version, content)
        copies.append(copy)
    copy = data.draw(st.sampled_from(copies))
    copy.apply(source.changes_since(copy.version))
    assert (copy.version, copy.rows) == (source.version, source.rows)


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def test_two_highest_ranked_entries_are_relays_and_replaced_within_3_s():
    """Guards against a data centre without a relay after a failure."""
    clock = Clock()
    hosts = [entry_host(number) for number in range(5)]
    ranking = rendezvous.highest_ranked(
        relays.election_key('dc-a'), [host.node for host in hosts], 5
    )
    third = relays.RelayElection(ranking[2], 'dc-a', clock)
    third.set_hosts(hosts)
    conns = {node: object() for node in ranking[:2]}
    for node, conn in conns.items():
        third.connection_opened(identity(node), conn)
    clock.now_s += 60
    assert not third.is_relay()
    assert third.addresses_to_connect() == [
        f'{node}:1' for node in ranking[:2]
    ]
    third.connection_closed(identity(ranking[0]), conns[ranking[0]])
    clock.now_s += relays.SILENCE_LIMIT_S
    assert third.is_relay()
    third.connection_opened(identity(ranking[0]), object())
    assert not third.is_relay()


def test_relay_heartbeat_counts_only_with_the_marker_and_for_3_s():
    """Guards against relying on a relay without the platform."""
    clock = Clock()
    election = relays.RelayElection('me', 'dc-a', clock)
    plain = ttypes.DocumentVersion('table', 4)
    marker = ttypes.DocumentVersion(relays.RELAY_MARKER, 1)
    election.heard(identity('r1'), [plain])
    election.heard(identity('r2', 'dc-b'), [plain, marker])
    assert not election.has_recent_relay_heartbeat()
    election.heard(identity('r1'), [plain, marker])
    assert election.has_recent_relay_heartbeat()
    clock.now_s += relays.SILENCE_LIMIT_S
    assert not election.has_recent_relay_heartbeat()


def test_subsets_cover_all_agents_and_reach_every_data_centre():
    """Guards against agents without an entry and one-sided subsets.

    At least half of a subset is in the entry's own data centre.
    """
    names = [f'dc-{number}' for number in range(4)]
    entries = [entry_host(n, name) for name in names for n in range(12)]
    agents = [agent_host(n, name) for name in names for n in range(150)]
    hosts = [*entries, *agents]
    reached = {}
    for entry in entries:
        chosen = subset.select_agents(entry.node, entry.data_centre, hosts)
        own = sum(row.data_centre == entry.data_centre for row in chosen)
        assert len(chosen) == subset.AGENTS_PER_SERVICE
        assert own >= subset.AGENTS_PER_SERVICE // 2
        assert len({row.data_centre for row in chosen}) == len(names)
        for row in chosen:
            reached.setdefault(row.node, set()).add(entry.node)
    assert len(reached) == len(agents)
    assert min(map(len, reached.values())) >= subset.ENTRIES_PER_AGENT


def test_loss_of_an_entry_moves_few_connections_of_other_entries():
    """Guards against closing connections of all entries when one fails."""
    entries = [entry_host(number) for number in range(12)]
    agents = [agent_host(number, 'dc-a') for number in range(150)]
    moved = 0
    for entry in entries[1:]:
        before, after = (
            {
                row.node
                for row in subset.select_agents(
                    entry.node, 'dc-a', [*listed, *agents]
                )
            }
            for listed in (entries, entries[1:])
        )
        moved += len(before - after)
    assert moved <= subset.AGENTS_PER_SERVICE


class DownStore:
    async def get(self, key, known_version=None):
        raise api.PlatformUnavailable('down')


def table_start(clock):
    table = document.VersionedDocument('table')
    confirmed = []
    item = initial_table.InitialTable(
        DownStore(), table, lambda: confirmed.append(1), clock
    )
    return item, table, confirmed


def versions(number):
    return [ttypes.DocumentVersion('table', number)]


def test_initial_table_from_peers_is_the_newest_of_several():
    """Guards against starting with an outdated table of one peer."""
    item, table, confirmed = table_start(Clock())
    table.replace(4, {})
    item.heard('a', versions(4))
    item.heard('b', versions(0))
    item.heard('c', versions(4))
    assert not confirmed
    item.heard('d', versions(5))
    assert not confirmed, 'version 5 has not been fetched yet'
    table.replace(5, {})
    item.check_peers()
    assert confirmed == [1]


def test_fewer_peers_are_sufficient_after_two_seconds():
    """Guards against a small deployment that cannot start in an outage."""
    clock = Clock()
    item, table, confirmed = table_start(clock)
    table.replace(4, {})
    item.heard('a', versions(4))
    clock.now_s += initial_table.PEERS_WAIT_S + 0.1
    item.check_peers()
    assert confirmed == [1]


def test_table_is_not_confirmed_without_platform_and_peers():
    """Guards against serving without a table."""
    item, _, confirmed = table_start(Clock())

    async def run():
        async with asyncio.timeout(0.4):
            await item.run()

    with pytest.raises(TimeoutError):
        asyncio.run(run())
    assert not confirmed


@pytest.mark.parametrize(
    'value', [None, [], {}, {'rows': 3}, {'rows': {'target/t': 'x'}}]
)
def test_invalid_table_object_is_ignored(value):
    """Guards against a node that fails on an object written by others."""
    table = document.VersionedDocument('table')
    table.replace(3, {'target/t': {}})
    assert not source.apply_table(table, 4, value)
    assert (table.version, table.rows) == (3, {'target/t': {}})


def direct_withdrawals(version=5):
    table = document.VersionedDocument('table')
    table.replace(version, {'data_centre/dc-a': {'weight': 2}})
    item = overrides.DirectWithdrawals(table, lambda: None)
    table.on_change(item.table_changed)
    return item, table


def test_direct_withdrawal_holds_until_a_newer_table_changes_the_row():
    """Guards against a withdrawal that ends too early or never."""
    item, table = direct_withdrawals()
    assert item.apply_argument(b'{"rows": {"data_centre/dc-a": null}}')
    table.replace(6, {**table.rows, 'target/t': {}})
    row = item.overlay(table.rows)['data_centre/dc-a']
    assert row == {'weight': 2, 'state': 'withdrawn'}
    table.replace(7, {**table.rows, 'data_centre/dc-a': {'change_id': 'x'}})
    assert item.overlay(table.rows) == table.rows


def test_ended_direct_withdrawal_is_not_restored_by_a_peer():
    """Guards against a withdrawal that a reconnected entry restores."""
    item, table = direct_withdrawals()
    table.replace(6, {'data_centre/dc-a': {'change_id': 'x'}})
    assert not item.apply_argument(b'{"rows": {"data_centre/dc-a": 5}}')
    assert item.apply_argument(b'{"rows": {"data_centre/dc-a": 6}}')


@pytest.mark.parametrize(
    'argument',
    [None, b'', b'[]', b'{"rows": 3}', b'{"rows": {"service/x": null}}'],
)
def test_malformed_direct_withdrawal_is_refused(argument):
    """Guards against a handler that fails on invalid input."""
    item, _ = direct_withdrawals()
    with pytest.raises(errors.Refusal):
        item.apply_argument(argument)
