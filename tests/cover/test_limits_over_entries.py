"""Limits that hold over all entries together, with any number of entries.

The load is that of calls that all go to targets which have just turned cold,
while entries start, stop and see different lists of each other.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from wagtailhollow.internal.entry.direct import shares

AGENTS = ('10.9.0.1', '10.9.0.2', '10.9.0.3')


def ips(count):
    return [f'10.{n // 250}.1.{n % 250 + 1}' for n in range(count)]


def new_shares(ip, lists, now=lambda: 0.0):
    found = shares.EntryShares(ip, lambda: 0, now)
    for agent, entries in lists.items():
        found.record_list(agent, entries)
    return found


def all_parts(entries, lists_of, limit, target):
    return [
        new_shares(ip, lists_of(ip)).whole_part(limit, target)
        for ip in entries
    ]


@given(st.integers(1, 300), st.floats(1, 400), st.integers(0, 50))
def test_parts_of_a_cold_targets_limit_add_up(count, limit, number):
    """Guards against a floor of one call a second at each of many entries.

    With 35 entries that were 35 calls a second, where 26 are allowed.
    """
    entries = ips(count)
    lists = dict.fromkeys(AGENTS, entries)
    parts = all_parts(entries, lambda ip: lists, limit, f'10.0.0.{number}:80')
    assert sum(parts) == int(limit * shares.USED_SHARE)
    assert max(parts) - min(parts) <= 1


@given(
    st.integers(2, 300),
    st.integers(1, 12),
    st.integers(8, 200),
    st.randoms(use_true_random=False),
)
def test_sum_holds_while_entries_start_and_stop(count, changed, limit, rng):
    """Guards against lists of different age at the entries.

    Each entry has the list of before or after some entries have started, and
    those that stopped may have sent calls in the same second. A change moves
    one call a second to another entry, besides the parts of the entries that
    come and go.
    """
    before = ips(count)
    after = sorted({*ips(count + changed)} - {*rng.sample(before, 1)})

    def lists_of(ip):
        seen = after if ip not in before else rng.choice([before, after])
        return dict.fromkeys(AGENTS, seen)

    everybody = sorted({*before, *after})
    parts = all_parts(everybody, lists_of, limit, '10.0.0.1:80')
    used = int(limit * shares.USED_SHARE)
    each = used // min(len(before), len(after)) + 1
    assert sum(parts) <= used + (changed + 1) * each


def test_all_entries_can_use_some_cold_targets():
    """Guards against an entry that gets no part at any target.

    After a power loss all targets are cold.
    """
    entries = ips(35)
    lists = dict.fromkeys(AGENTS, entries)
    for ip in entries:
        found = new_shares(ip, lists)
        used = [found.whole_part(26, f'10.0.0.{n}:80') for n in range(96)]
        assert sum(map(bool, used)) > 24, ip


@given(st.integers(1, 300), st.integers(0, 300), st.floats(1, 400))
def test_sum_holds_before_agents_have_sent_lists(count, extra, limit):
    """Guards against an assumed number of entries that is too small.

    After a power loss all entries start without knowing of each other. A
    deployment has at least as many targets as entries.
    """
    parts = [
        shares.EntryShares(ip, lambda: count + extra) for ip in ips(count)
    ]
    assert (
        sum(item.whole_part(limit, '10.0.0.1:80') for item in parts) <= limit
    )
    assert sum(item.fraction() for item in parts) <= 1


def test_entry_serves_cold_targets_of_a_small_deployment_at_once():
    """Guards against seconds without service after all hosts lost power."""
    found = shares.EntryShares('10.0.2.1', lambda: 15)
    assert found.whole_part(59, '10.0.0.1:80') >= 2


def test_list_replaces_the_assumed_number():
    """Guards against an assumption that outlives the first list."""
    found = shares.EntryShares('10.0.2.1', lambda: 200)
    assert not found.has_list
    found.record_list(AGENTS[0], ips(5))
    assert found.has_list
    assert found.fraction() == shares.USED_SHARE / 6


def test_agent_that_few_entries_reach_does_not_count():
    """Guards against a cut between data centres that hides entries."""
    entries = ips(35)
    lists = {AGENTS[0]: entries[:7], AGENTS[1]: entries}
    parts = all_parts(entries, lambda ip: lists, 26, '10.0.0.1:80')
    assert sum(parts) == int(26 * shares.USED_SHARE)


def test_number_of_entries_counts_for_the_window_of_the_budget():
    """Guards against a budget that was spent by entries that have stopped."""
    now = [0.0]
    found = new_shares('10.0.1.1', {AGENTS[0]: ips(10)}, now=lambda: now[0])
    now[0] = shares.LIST_WINDOW_S + 0.1
    found.record_list(AGENTS[0], ips(2))
    assert found.fraction() == shares.USED_SHARE / 10
    now[0] += shares.COUNT_WINDOW_S
    found.record_list(AGENTS[0], ips(2))
    assert found.fraction() == shares.USED_SHARE / 2
