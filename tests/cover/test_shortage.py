"""Decisions in a shortage: who is sent, who waits and who is refused.

The load patterns: a burst of the least urgent calls on a busy service; the
most urgent ones among them; a backlog after a stall; one group of two that is
slow. No test needs a network.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wagtailhollow import errors
from wagtailhollow.internal.datagram import demand_rows
from wagtailhollow.internal.directory import model
from wagtailhollow.internal.entry.shortage import (
    demand,
    order,
    outlook,
    pace,
    quota,
    waiting,
)

SERVICE = 's'
URGENT = order.level_of(0, 0)
OTHER = order.level_of(2, 2)
RATES = st.floats(0, 10_000)


def manifest(*priorities):
    routes = tuple(
        model.Route(
            f'r{priority}',
            'a.example',
            f'/{priority}/',
            model.CallKind.STREAM,
            (model.ServiceShare(SERVICE, 1.0),),
            8.0,
            0.4,
            priority=priority,
        )
        for priority in priorities
    )
    return model.Manifest(1, 1, routes, {}, model.CallerLimits(), None)


def room(rate, work_s=1.6):
    """Return the room of targets that are as full as they should be."""
    return quota.Room(rate * work_s, rate * work_s, work_s)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@given(RATES, st.lists(RATES, min_size=1, max_size=4))
def test_shares_go_to_urgent_calls_first(rate, demands):
    """Guards against a burst of one level that makes more urgent ones wait."""
    parts = quota.shares(rate, demands)
    least = quota.MIN_SHARE * rate
    sent = [part * wanted for part, wanted in zip(parts, demands, strict=True)]
    assert sum(sent) <= rate + len(sent) * least + 1e-6
    for urgent, after in itertools.pairwise(range(len(parts))):
        if demands[after] and sent[after] > least + 1e-6:
            assert parts[urgent] == 1.0
    assert all(
        part == 1.0 or amount >= least - 1e-6
        for part, amount in zip(parts, sent, strict=True)
    ), 'no level is starved'


@given(
    st.lists(st.floats(0.1, 50), min_size=1, max_size=300),
    st.floats(1, 500),
)
def test_entries_of_unequal_demand_keep_to_one_rate(own_rates, rate):
    """Guards against entries that together send more than targets can take.

    Each works with its own part of the demand, which all know the sum of.
    """
    total = {0: 0.0, 1: sum(own_rates)}
    clock = Clock()
    entries = [quota.Quota(clock) for _ in own_rates]
    seconds = 4
    sent = 0
    for _ in range(seconds * 10):
        clock.now += 0.1
        for entry, own in zip(entries, own_rates, strict=True):
            for _ in range(1 + round(own * 0.1)):
                sent += entry.try_take(1, room(rate), {1: own}, total, 1.0)
    allowed = max(rate, quota.MIN_SHARE * rate) * seconds
    if sum(own_rates) > rate:
        assert sent <= allowed + 2 * len(own_rates) + rate * quota.BURST_S
    else:
        assert sent > 0


def test_large_calls_use_up_more_of_the_quota():
    """Guards against large calls that take the places of several others."""

    def sent(cost):
        clock = Clock()
        entry = quota.Quota(clock)
        count = 0
        for _ in range(400):
            clock.now += 0.025
            count += entry.try_take(0, room(5.0), {0: 20.0}, {0: 20.0}, cost)
        return count

    assert sent(1.0) == pytest.approx(50, abs=3)
    assert sent(4.0) == pytest.approx(12.5, abs=3)


def test_calls_are_sent_freely_while_there_is_room():
    """Guards against refusals while places are free."""
    entry = quota.Quota(Clock())
    own, total = {1: 1.0}, {0: 10.0, 1: 30.0}
    for _ in range(100):
        assert entry.try_take(1, room(50.0), own, total, 4.0)


def test_rate_falls_while_more_calls_run_than_should():
    """Guards against entries that go on to send by old load reports."""
    usual = quota.calls_per_s(quota.Room(96, 96, 1.6))
    assert usual == pytest.approx(60)
    assert quota.calls_per_s(quota.Room(96, 140, 1.6)) < usual / 2
    assert quota.calls_per_s(quota.Room(96, 48, 1.6)) > usual


def test_backlog_leaves_room_for_calls_in_time():
    """Guards against a backlog that makes all later calls late as well."""
    empty = quota.Room(200, 0, 1.6)
    filled = quota.Room(200, 165, 1.6)
    assert quota.late_calls_per_s(empty, 50) > 150
    assert quota.late_calls_per_s(filled, 95) == pytest.approx(
        quota.MIN_SHARE * 200 / 1.6
    )
    assert quota.calls_per_s(filled) > 95


def test_room_of_a_new_group_is_known_before_its_passes():
    """Guards against a backlog that is sent whole to a group that opens."""
    engine = model.EngineModel(
        slots=5,
        step_s=0.005,
        per_sequence_s=0.001,
        per_context_token_s=0.0,
        prefill_tokens_per_s=60_000.0,
        kv_capacity_tokens=150_000,
        stride=7,
        usual_prompt_tokens=800.0,
        usual_answer_tokens=140.0,
    )
    unknown = quota.room(engine, 96, 0, [])
    known = quota.room(engine, 96, 0, [engine.pass_s(3)])
    assert unknown.work_s > known.work_s > 0
    assert quota.calls_per_s(unknown) < 200


@pytest.mark.parametrize(
    ('called', 'is_contested'),
    [
        ((1,), False),
        ((1, 1), False),
        ((0, 1), True),
        ((0,) + 30 * (1,), False),
    ],
)
def test_service_whose_calls_are_alike_is_not_contested(called, is_contested):
    """Guards against refusals that no configuration asks for.

    The configuration has routes of other priorities that are hardly called.
    """
    rates = demand.Demand(Clock())
    rates.configure(manifest(0, 1, 2))
    for priority in (0, 2):
        rates.record(SERVICE, order.level_of(0, priority), is_stream=False)
    for priority in called:
        rates.record(SERVICE, order.level_of(0, priority))
        rates.record(SERVICE, order.level_of(1, priority))
    assert rates.is_contested(SERVICE) is is_contested
    assert not rates.is_contested('other')
    rates.configure(manifest(1))
    assert not rates.is_contested(SERVICE)


def test_entry_that_has_just_started_expects_others():
    """Guards against entries that each send a backlog to all places.

    After all hosts lost power no entry knows the demand of the others.
    """
    clock = Clock()
    entry = demand.Demand(clock)
    entry.configure(manifest(0))
    entry.count_entries(6)
    for _ in range(40):
        clock.now += 0.05
        entry.record(SERVICE, URGENT)
    own = entry.own_rates(SERVICE)[URGENT]
    assert entry.rates(SERVICE)[URGENT] == pytest.approx(6 * own)


def test_demand_of_all_entries_is_known_from_agents():
    """Guards against an entry that yields to its own urgent calls only."""
    clock = Clock()
    entries = [demand.Demand(clock) for _ in range(3)]
    for entry in entries:
        entry.configure(manifest(0, 2))
    for _ in range(40):
        clock.now += 0.05
        entries[0].record(SERVICE, URGENT)
        for entry in entries:
            entry.record(SERVICE, OTHER)
    total = demand_rows.total(entry.packed() for entry in entries)
    entries[2].record_sum(total)
    rates = entries[2].rates(SERVICE)
    assert rates[URGENT] == pytest.approx(18, rel=0.3)
    assert rates[OTHER] == pytest.approx(54, rel=0.3)
    clock.now += demand.MAX_SUM_AGE_S + 0.1
    assert not entries[2].rates(SERVICE)[URGENT], 'without agents: its own'


@given(st.binary(max_size=600))
def test_unreadable_demand_is_left_out(data):
    """Guards against a datagram that ends the exchange of demand."""
    sound = demand_rows.pack({(1, 0): 5.0})
    assert demand_rows.unpack(demand_rows.total([sound, data])) is not None
    assert demand_rows.total([sound, b'x']) == sound


def test_urgent_calls_go_first_even_if_late():
    """Guards against an urgent kind that is served less than others."""
    standings = [
        order.Standing(order.level_of(priority, 1), is_late)
        for priority in range(order.PRIORITIES)
        for is_late in (False, True)
    ]
    assert standings == sorted(standings)
    queue_levels = [item.queue_level for item in standings]
    assert len(set(queue_levels)) == len(queue_levels)
    assert min(queue_levels) > order.RESUMED_QUEUE_LEVEL
    assert max(queue_levels) <= 9


@pytest.mark.parametrize(
    ('priority', 'route_priority', 'level'),
    [(-3, 0, 0), (0, 2, 2), (1, 0, 4), (1, 2, 6), (10**9, 10**9, 15)],
)
def test_priority_out_of_range_has_a_level(priority, route_priority, level):
    """Guards against a configured priority that has no place in the order."""
    assert order.level_of(priority, route_priority) == level


def test_slow_group_is_left_to_late_calls():
    """Guards against calls in time that are late at once on a slow group."""
    paces = {
        'fast': pace.Pace.IN_TIME,
        'slow': pace.Pace.LATE,
        'stuck': pace.Pace.TOO_SLOW,
    }

    def chosen(free, is_late, best='fast'):
        return pace.preferred(free, paces.get, is_late, lambda: paces[best])

    assert chosen(['fast', 'slow'], False) == ['fast']
    assert chosen(['slow'], False) == [], 'it waits for the fast one'
    assert chosen(['slow'], False, 'slow') == ['slow'], 'no target is fast'
    assert chosen(['fast', 'slow'], True) == ['slow']
    assert chosen(['fast', 'stuck'], True) == ['fast']
    assert chosen(['stuck'], True) == []
    assert chosen(['stuck'], True, 'stuck') == ['stuck']
    assert chosen([], True) == []


@pytest.mark.parametrize(
    ('pass_s', 'passes', 'expected'),
    [
        (0.0, 20, pace.Pace.IN_TIME),
        (0.1, 20, pace.Pace.IN_TIME),
        (0.3, 20, pace.Pace.LATE),
        (0.3, 40, pace.Pace.TOO_SLOW),
        (0.9, 2, pace.Pace.TOO_SLOW),
    ],
)
def test_pace_follows_from_the_pass_time(pass_s, passes, expected):
    """Guards against late calls on a group that cannot complete them."""
    assert pace.pace_of(pass_s, 0.12, 2.0, passes, 8.0) is expected


def test_call_without_a_chance_is_refused_at_once():
    """Guards against callers that wait for what they cannot get."""
    assert outlook.has_chance(outlook.Queue(0.5, 30, 10.0, 0.0), 1.0)
    assert not outlook.has_chance(outlook.Queue(2.0, 30, 10.0, 5.0), 1.0)
    assert outlook.has_chance(outlook.Queue(2.0, 3, 10.0, 5.0), 1.0)
    assert outlook.has_chance(outlook.Queue(2.0, 30, 0.0, 0.0), 1.0), (
        'no call gets a place: the end is unknown'
    )


def test_refused_callers_return_spread_over_the_time_they_wait():
    """Guards against a second burst of those that were refused together."""
    rng = random.Random(3)
    times = sorted(outlook.retry_after_s(8.0, rng) for _ in range(300))
    assert times[0] >= 1.3 and times[-1] <= 8 / 3
    assert times[225] - times[75] > 0.6
    assert outlook.retry_after_s(-1.0, rng) == 0


def waiting_call(level, age_s, is_late=False, is_retry=False):
    return types.SimpleNamespace(
        service_name=SERVICE,
        regions=None,
        remaining_s=lambda: 1.0,
        rank=order.Rank(order.Standing(level, is_late), not is_retry, age_s),
    )


def sent_in_order(calls, places):
    """Let calls wait for places that come free; return those that get one."""
    turns = waiting.OrderedTurns(lambda call: call.rank, lambda call: 1.0)
    free = []
    sent = []

    async def run(call, until_s):
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            if free:
                free.pop()
                sent.append(call)
                turns.found(call)
                return
            await turns.wait(call, until_s)

    async def go():
        until_s = asyncio.get_running_loop().time() + 0.5
        tasks = [asyncio.create_task(run(call, until_s)) for call in calls]
        await asyncio.sleep(0.05)
        free.extend(range(places))
        await asyncio.gather(*tasks)

    asyncio.run(go())
    return sent


def test_places_go_to_waiting_calls_by_rank():
    """Guards against a place that goes to whoever asks at that moment."""
    calls = [
        waiting_call(2, 0.1),
        waiting_call(0, 0.3),
        waiting_call(1, 0.2, is_late=True),
        waiting_call(1, 0.2),
        waiting_call(0, 0.1),
        waiting_call(1, 0.9, is_late=True, is_retry=True),
    ]
    sent = sent_in_order(calls, 5)
    assert sent == [calls[4], calls[1], calls[3], calls[5], calls[2]]


def test_call_that_yields_for_long_is_refused():
    """Guards against waiting behind urgent calls until the caller leaves."""
    clock = Clock()
    turns = waiting.OrderedTurns(lambda call: call.rank, lambda c: 1.5, clock)
    urgent, other = waiting_call(0, 0.0), waiting_call(2, 0.2)

    async def go():
        until_s = asyncio.get_running_loop().time() + 0.1
        await turns.wait(other, until_s)
        for _ in range(20):
            turns.found(urgent)
        turns.require_chance(other)
        clock.now += 1.5
        for _ in range(20):
            turns.found(urgent)
        with pytest.raises(errors.Refusal) as caught:
            turns.require_chance(other)
        assert caught.value.retry_after_s == 1.5
        turns.require_chance(urgent)

    asyncio.run(go())
