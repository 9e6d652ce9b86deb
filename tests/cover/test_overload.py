"""Who waits and who is sent where, under loads that targets cannot bear."""

from __future__ import annotations

import asyncio
import types

import pytest

from standins import deployed
from tests.target_records import SERVICE, SLOTS, record
from wagtailhollow.internal.directory import follow, model, state
from wagtailhollow.internal.entry.direct import (
    caller_timeouts,
    compose,
    targets,
)
from wagtailhollow.internal.experts.live import pass_time
from wagtailhollow.internal.platform import settings

GAP_S = 0.12
ENGINE = model.EngineModel(
    slots=SLOTS,
    step_s=0.00455,
    per_sequence_s=0.00181,
    per_context_token_s=0.0,
    prefill_tokens_per_s=61_400.0,
    kv_capacity_tokens=140_000,
    stride=4,
    usual_prompt_tokens=700.0,
    usual_answer_tokens=96.0,
)


def route(**fields):
    values = {
        'name': 'r',
        'host': 'a.example',
        'prefix': '/',
        'kind': model.CallKind.STREAM,
        'shares': (model.ServiceShare(SERVICE, 1.0),),
        'timeout_s': 8.0,
        'objective_s': 0.5,
        'gap_s': GAP_S,
    }
    return model.Route(**(values | fields))


def call(is_late=False, **fields):
    return types.SimpleNamespace(
        service_name=SERVICE, is_late=is_late, route=route(**fields)
    )


def manifest_update():
    services = {SERVICE: model.Service(SERVICE, engine=ENGINE)}
    manifest = model.Manifest(1, 1, (), services, model.CallerLimits(), None)
    return follow.Update({'main': manifest}, 1, True, False)


class Entry:
    """One entry and some targets on a clock of the test."""

    def __init__(self, count):
        self.now = 100.0
        directory = state.Directory(lambda: self.now)
        directory.apply_manifest(manifest_update())
        records = {f'i-{n}': record(n) for n in range(count)}
        directory.apply_targets(follow.Update(records, 1, True, False))
        self.view = targets.DirectTargets(directory, clock=lambda: self.now)

    def report(self, number, running, pass_s, group='g', is_open=True):
        self.view.record_report(
            f'i-{number}', running, 0, is_open, group, pass_s
        )

    def names(self):
        return {item.target for item in self.view.candidates(call())}


def with_room(entry, of):
    return {
        item.target
        for item in entry.view.candidates(of)
        if entry.view.has_capacity(of, item)
    }


@pytest.mark.parametrize('factor', [1.0, 1.5, 2.0, 3.0])
def test_streams_at_a_target_keep_their_pauses(factor):
    """Pattern: a backlog meets a map that fits badly.

    Guards against a batch so large that a pass takes longer than the pause
    that callers of the route accept, which makes every stream in it late.
    """
    entry = Entry(1)
    running = 0
    while True:
        entry.report(0, running, factor * ENGINE.pass_s(max(1, running)))
        if not with_room(entry, call()):
            break
        running += 1
    least = SLOTS * targets.MIN_CONCURRENCY_SHARE
    assert running >= least
    if running > least:
        assert factor * ENGINE.pass_s(running) <= GAP_S


def test_calls_without_pauses_use_all_slots():
    """Guards against a bound on streams that idles a plain service."""
    entry = Entry(1)
    entry.report(0, SLOTS - 1, 0.2)
    assert with_room(entry, call(gap_s=0.0))


def test_group_that_stands_still_gets_no_calls():
    """Pattern: a group is held while its coordinator's host is frozen.

    Guards against calls that wait for an engine which begins nothing. The
    frozen host's own target reports nothing and must not look empty.
    """
    entry = Entry(4)
    for number in range(4):
        entry.report(number, 3, 0.05, f'g{number % 2}')
    entry.now += 1.0
    # i-0 is beside the frozen host; i-2 is in its group.
    entry.report(1, 3, 0.05, 'g1')
    entry.report(3, 3, 0.05, 'g1')
    entry.report(2, 3, 1.0, 'g0')
    assert entry.names() == {'i-1', 'i-3'}


def test_slow_group_gets_calls():
    """Pattern: two fifths of the engines are 12 times slower than usual.

    Guards against refusing calls that a slow group would still answer.
    """
    entry = Entry(1)
    entry.report(0, 2, 0.7)
    assert with_room(entry, call())


def test_target_whose_reports_ended_is_used_last():
    """Pattern: hosts freeze or agents die while their group goes on.

    Guards against a target that looks empty because nobody reports its load.
    """
    entry = Entry(2)
    entry.report(0, 3, 0.05, 'g0')
    entry.report(1, 5, 0.05, 'g1')
    entry.now += targets.REPORT_TIMEOUT_S + 0.1
    entry.report(1, 5, 0.05, 'g1')
    assert entry.names() == {'i-1'}
    entry.report(1, 5, 0.05, 'g1', is_open=False)
    assert entry.names() == {'i-0'}, 'the only one that may serve'


def test_agents_of_new_targets_are_asked_at_once():
    """Pattern: all processes start again and the groups form anew.

    Guards against an entry that does not know for its first second which
    groups serve, and uses up the attempts of its calls at those that do not.
    """
    row = deployed.host_settings('127.0.0.1:1', '127.0.0.1')
    sent = []

    async def go():
        entry = compose.DirectEntry(settings.decode(row))
        entry._endpoint.send = lambda message, ips, port: sent.append(set(ips))
        task = asyncio.create_task(entry._subscribe())
        await asyncio.sleep(0.05)
        entry._directory.apply_manifest(manifest_update())
        for number in (1, 2):
            documents = {f'i-{number}': record(number)}
            entry._directory.apply_targets(
                follow.Update(documents, 2, False, False)
            )
            await asyncio.sleep(0.15)
        task.cancel()

    asyncio.run(go())
    assert sent[-1] == {'10.0.0.1', '10.0.0.2'}


def test_target_that_never_reported_is_used():
    """Guards against an entry that serves nobody until agents are heard."""
    entry = Entry(2)
    assert entry.names() == {'i-0', 'i-1'}


def test_caller_that_comes_back_late_is_told_from_a_new_one():
    """Pattern: refused callers return among new ones.

    Guards against a backlog that comes back as if it were in time.
    """
    stated = caller_timeouts.RouteDeadlines()
    assert not stated.is_later_attempt('r', 8.0)
    assert not stated.is_later_attempt('r', 6.85), 'callers differ'
    assert stated.is_later_attempt('r', 5.0)
    assert not stated.is_later_attempt('other', 1.0)
    stated.keep_only({'other'})
    assert not stated.is_later_attempt('r', 5.0)


def test_wait_ends_before_the_caller_leaves():
    """Guards against calls that are sent when nobody waits any more."""
    longest_s = caller_timeouts.max_wait_s(route())
    assert (
        longest_s + caller_timeouts.FIRST_EVENT_S
        <= caller_timeouts.MIN_EVENT_TIMEOUT_S
    )
    patient_s = caller_timeouts.max_wait_s(route(objective_s=2.0))
    assert patient_s > longest_s
    once = route(kind=model.CallKind.ONCE, gap_s=0.0)
    assert caller_timeouts.max_wait_s(once) == float('inf')


def steps(found, until_s, period_s=0.1, pass_s=0.05, epoch=1):
    now_s = 0.0
    while now_s < until_s:
        found.add(now_s, epoch, int(now_s / pass_s), True)
        now_s += period_s
    return now_s


def test_pace_of_passes_is_known_within_half_a_second():
    """Guards against places that follow a change of the map too late."""
    found = pass_time.PassTimeEstimator()
    now_s = steps(found, 1.0)
    assert found.pass_s(now_s) == pytest.approx(0.05, rel=0.2)


def test_standing_group_shows_at_once():
    """Guards against a stall that hides behind the mean of earlier passes."""
    found = pass_time.PassTimeEstimator()
    now_s = steps(found, 1.0)
    last_step = int((now_s - 0.1) / 0.05)
    found.add(now_s + 0.5, 1, last_step, True)
    assert found.pass_s(now_s + 0.6) > 0.5


@pytest.mark.parametrize('busy', [True, False])
def test_idle_group_has_no_pace(busy):
    """Guards against an idle group that counts as standing still."""
    found = pass_time.PassTimeEstimator()
    found.add(0.0, 1, 7, False)
    found.add(5.0, 1, 7, busy)
    assert found.pass_s(5.05) < targets.STALLED_PASS_S
