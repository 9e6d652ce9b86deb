"""Load reports of hundreds of targets to tens or hundreds of entries.

The load pattern: each entry needs the load of each target, so that reports of
each agent to each entry grow with the product of both numbers.
"""

from __future__ import annotations

import asyncio
import collections
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins import memory_platform
from tests.cover.test_direct_targets import CALL, Deployment
from wagtailhollow.internal.agent.direct import load_reports
from wagtailhollow.internal.datagram import endpoint, load_rows, messages
from wagtailhollow.internal.directory import follow
from wagtailhollow.internal.entry.direct import targets
from wagtailhollow.internal.experts.live import group_view, messenger

POLL_S = 0.1
HEADER_BYTES = 28
CODEC = endpoint.Endpoint(messages.MESSAGE_TYPES)


def agent_ip(number):
    return f'10.0.0.{number + 1}'


def entry_ip(number):
    return f'10.1.{number // 200}.{number % 200 + 1}'


class Group:
    """Agents of a group that report to entries on a simulated clock.

    :ivar collectors: rank of the collector of each rank; a rank without one
        has no roster.
    :ivar datagrams: number of datagrams by receiver.
    :ivar newest_s: time of the newest report of each target at entry 0.
    """

    def __init__(self, ranks, entries, part=0, old_entries=0):
        self.now_s = 100.0
        self.ranks = ranks
        self.entries = entries
        self.old_entries = old_entries
        self.collectors = {
            number: number // part * part for number in range(ranks) if part
        }
        self.lost = set()
        self.datagrams = collections.Counter()
        self.bytes = collections.Counter()
        self.newest_s = {}
        self.batches = collections.Counter()
        self.is_open = True
        self.agents = [self._agent(number) for number in range(ranks)]

    def _agent(self, number):
        def collector_ip():
            collector = self.collectors.get(number, number)
            return agent_ip(collector) if collector != number else ''

        def transmit(message, ips):
            if number not in self.lost:
                for ip in ips:
                    self._deliver(message, agent_ip(number), ip)

        return load_reports.LoadReporter(
            transmit, collector_ip, lambda: self.now_s
        )

    def _deliver(self, message, sender_ip, ip):
        data = CODEC.encode(message)
        self.datagrams[ip] += 1
        self.bytes[sender_ip] += len(data) + HEADER_BYTES
        received = CODEC.decode(data)
        if ip.startswith('10.0.'):
            number = int(ip.rpartition('.')[2]) - 1
            if number not in self.lost:
                self.agents[number].on_report(received, sender_ip)
        elif isinstance(received, messages.LoadBatch):
            self.batches[ip] += 1
            for row in load_rows.unpack(received.rows):
                self._record(ip, row.target, row.age_s)
        elif isinstance(received, messages.LoadReport):
            self._record(ip, received.target, 0.0)

    def _record(self, ip, target, age_s):
        if ip == entry_ip(0):
            self.newest_s[target] = self.now_s - age_s

    def run(self, seconds):
        for tick in range(round(seconds / POLL_S)):
            for number, agent in enumerate(self.agents):
                if tick % 10 == 0:
                    self._subscribe(agent)
                if number not in self.lost:
                    agent.send(
                        messages.LoadReport(
                            target=f'{agent_ip(number)}:8000',
                            running=number,
                            group='g',
                            is_open=self.is_open,
                        )
                    )
            self.now_s += POLL_S

    def _subscribe(self, agent):
        for number in range(self.entries):
            agent.on_subscribe(
                messages.Subscribe(
                    node=f'e{number}',
                    reads_batches=number >= self.old_entries,
                ),
                entry_ip(number),
            )

    def oldest_age_s(self):
        assert len(self.newest_s) == self.ranks
        return self.now_s - min(self.newest_s.values())


def test_reports_of_a_large_group_reach_entries_in_few_datagrams():
    """Guards against work at each entry that grows with the targets."""
    rates = {}
    for part in (0, 10):
        group = Group(ranks=96, entries=35, part=part)
        group.run(2.0)
        group.datagrams.clear()
        group.run(5.0)
        rates[part] = group.datagrams[entry_ip(0)] / 5
        assert group.oldest_age_s() < 1.0
    assert rates[10] < rates[0] / 5
    assert rates[10] < 96 / 3


@pytest.mark.parametrize('entries', [16, 35, 120])
def test_reports_of_a_collector_fit_its_link(entries):
    """Guards against a collector whose other messages wait behind reports."""
    group = Group(ranks=96, entries=entries, part=10)
    group.run(2.0)
    group.bytes.clear()
    group.run(4.0)
    slowest_link_bytes_per_s = 375_000
    assert max(group.bytes.values()) / 4 < 0.25 * slowest_link_bytes_per_s


def test_few_entries_get_reports_of_each_rank():
    """Guards against reports that wait for a collector without need."""
    group = Group(ranks=12, entries=8, part=4)
    group.run(3.0)
    assert not group.batches
    assert group.oldest_age_s() <= 2 * POLL_S


def test_lost_collector_costs_its_part_a_short_time():
    """Guards against targets without reports while a collector is lost."""
    group = Group(ranks=40, entries=35, part=10)
    group.run(2.0)
    group.lost = {10}
    group.run(0.7)
    # The coordinator replaces the collector once its statuses are missing.
    group.collectors |= dict.fromkeys(range(10, 20), 11)
    group.run(0.7)
    group.newest_s.pop(f'{agent_ip(10)}:8000')
    group.ranks -= 1
    assert group.oldest_age_s() < 0.7


def test_lost_roster_makes_each_rank_report():
    """Guards against silence between two coordinators."""
    group = Group(ranks=40, entries=35, part=10)
    group.run(2.0)
    group.collectors = {}
    group.run(1.0)
    assert group.oldest_age_s() < 0.8


def test_closed_group_is_reported_at_once():
    """Guards against calls sent to a group that is being formed again."""
    group = Group(ranks=20, entries=35, part=10)
    group.run(2.0)
    group.is_open = False
    group.datagrams.clear()
    group.run(POLL_S)
    assert group.datagrams[entry_ip(0)] == 20


def test_entries_of_an_older_build_get_single_reports():
    """Guards against entries without reports while builds are mixed."""
    group = Group(ranks=20, entries=35, part=10, old_entries=1)
    group.run(3.0)
    assert group.oldest_age_s() < 0.8
    assert not group.batches[entry_ip(0)]
    assert group.batches[entry_ip(1)]


ROWS = st.lists(
    st.builds(
        load_rows.LoadRow,
        target=st.builds(
            '{}:{}'.format,
            st.ip_addresses(v=4),
            st.integers(0, 0xFFFF),
        ),
        running=st.integers(0, 0xFFFF),
        waiting=st.integers(0, 0xFFFF),
        is_open=st.booleans(),
        pass_s=st.integers(0, 0xFFFF).map(lambda ms: ms / 1000),
        age_s=st.integers(0, 0xFFFF).map(lambda ms: ms / 1000),
    ),
    max_size=20,
)


@given(ROWS)
def test_rows_are_read_as_written(rows):
    """Guards against load that is taken for another target's."""
    assert load_rows.unpack(load_rows.pack(rows)) == rows


@given(st.binary(max_size=200))
def test_any_bytes_give_rows_or_a_value_error(data):
    """Guards against an entry that fails at a malformed datagram."""
    try:
        load_rows.unpack(data)
    except ValueError:
        assert len(data) % len(load_rows.pack([_row()]))


def test_large_numbers_are_cut():
    """Guards against a target that is left out because of its queue."""
    (row,) = load_rows.unpack(load_rows.pack([_row(running=1_000_000)]))
    assert row.running == 0xFFFF


def _row(running=1):
    return load_rows.LoadRow('10.0.0.1:80', running, 0, True, 0.0, 0.0)


def load_of(view):
    candidates = {item.target: item for item in view.candidates(CALL)}
    return candidates['i-0'].load * candidates['i-0'].cap


def test_calls_since_an_old_report_count_in_addition():
    """Guards against a target that gets more calls the older its report."""
    deployment = Deployment(entries=1, count=2)
    (view,) = deployment.entries
    record = deployment.records[0]
    view.record_report('i-0', 0, 0)
    before = load_of(view)
    view.started(record)
    deployment.now += 0.4
    view.started(record)
    # The target was asked after the first call and before the second.
    view.record_report('i-0', 1, 0, age_s=0.2)
    assert load_of(view) == before + 2
    view.record_report('i-0', 2, 0, age_s=0.0)
    assert load_of(view) == before + 2


def test_older_row_does_not_replace_the_load_of_a_response():
    """Guards against a full target that looks free again."""
    deployment = Deployment(entries=1, count=2)
    (view,) = deployment.entries
    view.record_load_header(deployment.records[0], b'5,2,6')
    view.record_report('i-0', 0, 0, True, 'g', 0.05, 0.5, age_s=0.3)
    assert load_of(view) >= 7
    assert view.pass_s(deployment.records[0]) == 0.05


def test_waiting_calls_share_the_list_of_targets(monkeypatch):
    """Guards against work that grows with waiting calls times targets."""
    deployment = Deployment(entries=1, count=192)
    (view,) = deployment.entries
    lists = []
    targets_of = view._directory.targets

    def count(service):
        lists.append(service)
        return targets_of(service)

    monkeypatch.setattr(view._directory, 'targets', count)
    for _ in range(50):
        assert view.has_available_target(CALL)
        assert len(view.candidates(CALL)) == 192
    assert len(lists) == 1
    view.record_report('i-7', 0, 0, is_open=False)
    assert len(view.candidates(CALL)) == 191
    deployment.now += 2 * targets.LIST_AGE_S
    view.candidates(CALL)
    assert len(lists) == 3


def test_target_that_leaves_is_left_out_at_once():
    """Guards against a call to a leaving target within the list's age."""
    deployment = Deployment(entries=1, count=2)
    (view,) = deployment.entries
    assert len(view.candidates(CALL)) == 2
    gone = follow.Update({'i-1': None}, 2, False, False)
    view._directory.apply_targets(gone)
    assert [item.target for item in view.candidates(CALL)] == ['i-0']
    withdrawal = follow.Update({'dc-1': True}, 3, False, False)
    view._directory.apply_withdrawals(withdrawal)
    assert view.candidates(CALL) == []


@pytest.mark.parametrize(
    ('gives_orders', 'ranks', 'period_s'),
    [
        (True, 1, messenger.FAST_POLL_PERIOD_S),
        (True, 96, messenger.FAST_POLL_PERIOD_S),
        (False, 1, messenger.POLL_PERIOD_S),
        (False, 96, messenger.POLL_PERIOD_S),
    ],
)
def test_engine_is_polled_fast_only_while_it_gets_orders(
    gives_orders, ranks, period_s
):
    """Guards against hundreds of agents that poll without need in a switch."""

    async def run():
        loop = asyncio.get_running_loop()
        report = types.SimpleNamespace(group='g', epoch=1, rank=0, size=ranks)
        controller = types.SimpleNamespace(
            report=report, gave_order=gives_orders, accept=lambda intent: True
        )
        agent = messenger.GroupMessenger(
            controller,
            group_view.GroupView(loop.time),
            None,
            lambda message, ips: None,
            dict,
            '10.0.0.1:80',
            375_000.0,
            loop.time,
        )
        agent.on_intent(
            messages.Intent(term=1, group='g', epoch=1), '10.0.0.2'
        )
        # The intent itself is looked at without delay.
        await agent.wait_for_poll()
        start_s = loop.time()
        assert start_s < messenger.FAST_POLL_PERIOD_S
        await agent.wait_for_poll()
        assert loop.time() - start_s == pytest.approx(period_s, rel=0.2)

    memory_platform.run_in_virtual_time(run)
