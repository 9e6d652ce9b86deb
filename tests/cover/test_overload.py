"""Tests of target selection and waiting under overload."""

from __future__ import annotations

import asyncio
import dataclasses
import types

import pytest

from standins import direct_deployment
from tests.target_records import SERVICE, SLOTS, record
from wagtailhollow.internal.directory import follow, model, state
from wagtailhollow.internal.entry.direct import (
    caller_timeouts,
    compose,
    targets,
)
from wagtailhollow.internal.entry.shortage import places
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
        service_name=SERVICE,
        is_late=is_late,
        route=route(**fields),
        regions=None,
        is_contested=False,
    )


def manifest_update(engine=ENGINE):
    services = {SERVICE: model.Service(SERVICE, engine=engine)}
    manifest = model.Manifest(1, 1, (), services, model.CallerLimits(), None)
    return follow.Update({'main': manifest}, 1, True, False)


class Entry:
    """The view of one entry on some targets, with a fake clock."""

    def __init__(self, count, engine=ENGINE):
        self.now = 100.0
        directory = state.Directory(lambda: self.now)
        directory.apply_manifest(manifest_update(engine))
        records = {f'i-{n}': record(n) for n in range(count)}
        directory.apply_targets(follow.Update(records, 1, True, False))
        self.view = targets.DirectTargets(directory, clock=lambda: self.now)

    def report(self, number, running, pass_s, group='g', is_open=True):
        self.view.record_report(
            f'i-{number}', running, 0, is_open, group, pass_s
        )

    def names(self):
        return {item.target for item in self.view.candidates(call())}


def targets_with_capacity(entry, request):
    return {
        item.target
        for item in entry.view.candidates(request)
        if entry.view.has_capacity(request, item)
    }


@pytest.mark.parametrize('factor', [1.0, 1.5, 2.0, 3.0])
def test_streams_at_a_target_keep_within_their_gap(factor):
    """Guards against a batch so large that a pass exceeds the route's gap.

    With a backlog and an expert map that does not match the demand, every
    stream in such a batch would be late.
    """
    entry = Entry(1)
    running = 0
    while True:
        entry.report(0, running, factor * ENGINE.pass_s(max(1, running)))
        if not targets_with_capacity(entry, call()):
            break
        running += 1
    minimum = SLOTS * places.MIN_CONCURRENCY_SHARE
    assert running >= minimum
    if running > minimum:
        assert factor * ENGINE.pass_s(running) <= GAP_S


def test_calls_without_a_gap_limit_use_all_slots():
    """Guards against a limit for streams that leaves a plain service idle."""
    entry = Entry(1)
    entry.report(0, SLOTS - 1, 0.2)
    assert targets_with_capacity(entry, call(gap_s=0.0))


def test_stalled_group_gets_no_calls():
    """Guards against calls to a group whose coordinator's host is frozen.

    The engines of the group start nothing. The target on the frozen host
    sends no reports and must not be taken for idle.
    """
    entry = Entry(4)
    for number in range(4):
        entry.report(number, 3, 0.05, f'g{number % 2}')
    entry.now += 1.0
    # i-0 is on the frozen host; i-2 is in the same group.
    entry.report(1, 3, 0.05, 'g1')
    entry.report(3, 3, 0.05, 'g1')
    entry.report(2, 3, 1.0, 'g0')
    assert entry.names() == {'i-1', 'i-3'}


def test_slow_group_gets_calls():
    """Guards against refusing calls that a slow group would still answer.

    In this case two fifths of all engines are 12 times slower than usual, so
    that a pass takes 0.7 s.
    """
    entry = Entry(1)
    entry.report(0, 2, 0.7)
    assert targets_with_capacity(entry, call())


@pytest.mark.parametrize('is_reported', [True, False])
def test_group_that_has_just_formed_is_not_filled_at_once(is_reported):
    """Guards against a backlog that makes all streams of a new group late.

    After all hosts lost power, calls wait until the group is open. Its first
    map does not match the demand, so that a full batch makes passes of several
    times the usual length, and no pass time is known yet.
    """
    layout = model.ExpertLayout(4, 72, 8, 3, 0.098, 0.85)
    entry = Entry(1, dataclasses.replace(ENGINE, experts=layout))
    running = 0
    while running < SLOTS:
        if is_reported:
            entry.report(0, running, 0.0)
        if not targets_with_capacity(entry, call()):
            break
        entry.view.started(record(0))
        running += 1
    assert SLOTS * places.MIN_CONCURRENCY_SHARE <= running < SLOTS


def test_target_with_overdue_reports_is_used_last():
    """Guards against a target that looks idle for lack of load reports.

    Hosts freeze or agents die while their group continues.
    """
    entry = Entry(2)
    entry.report(0, 3, 0.05, 'g0')
    entry.report(1, 5, 0.05, 'g1')
    entry.now += (
        targets.REPORT_OVERDUE_PERIODS * targets.DEFAULT_REPORT_PERIOD_S + 0.1
    )
    entry.report(1, 5, 0.05, 'g1')
    assert entry.names() == {'i-1'}
    entry.report(1, 5, 0.05, 'g1', is_open=False)
    assert entry.names() == {'i-0'}, 'no other target is serving'


def test_reports_of_an_agent_with_many_entries_are_overdue_later():
    """Guards against sound targets that are avoided in a large deployment.

    An agent with many entries reports to each of them less often.
    """
    entry = Entry(2)
    for number in range(2):
        entry.view.record_report(
            f'i-{number}', 1, 0, True, f'g{number}', 0.05, period_s=0.24
        )
    entry.now += 0.9
    entry.report(1, 1, 0.05, 'g1')
    assert entry.names() == {'i-0', 'i-1'}
    entry.now += targets.MAX_REPORT_OVERDUE_S - 0.8
    entry.report(1, 1, 0.05, 'g1')
    assert entry.names() == {'i-1'}


def test_entry_subscribes_at_once_to_agents_of_new_targets():
    """Guards against attempts wasted on groups that are not serving yet.

    After a restart of all processes the groups are formed again, and an entry
    would not know for its first second which of them serve.
    """
    row = direct_deployment.host_settings('127.0.0.1:1', '127.0.0.1')
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
    """Guards against refusing calls until the first load reports arrive."""
    entry = Entry(2)
    assert entry.names() == {'i-0', 'i-1'}


def test_retry_is_recognised_by_its_deadline():
    """Guards against treating retries of a backlog as calls in time.

    Refused callers retry among new callers.
    """
    timeouts = caller_timeouts.CallerTimeouts()
    assert not timeouts.is_caller_retry('r', 8.0)
    assert not timeouts.is_caller_retry('r', 6.85), (
        'the time-outs of first requests differ'
    )
    assert timeouts.is_caller_retry('r', 5.0)
    assert not timeouts.is_caller_retry('other', 1.0)
    timeouts.keep_only({'other'})
    assert not timeouts.is_caller_retry('r', 5.0)


def test_wait_ends_before_the_caller_disconnects():
    """Guards against calls that are sent after their caller has left."""
    wait_s = caller_timeouts.max_wait_s(route())
    assert (
        wait_s + caller_timeouts.FIRST_EVENT_S
        <= caller_timeouts.MIN_EVENT_TIMEOUT_S
    )
    longer_wait_s = caller_timeouts.max_wait_s(route(objective_s=2.0))
    assert longer_wait_s > wait_s
    once = route(kind=model.CallKind.ONCE, gap_s=0.0)
    assert caller_timeouts.max_wait_s(once) == float('inf')


def add_reports(estimator, until_s, period_s=0.1, pass_s=0.05, epoch=1):
    now_s = 0.0
    while now_s < until_s:
        estimator.add(now_s, epoch, int(now_s / pass_s), True)
        now_s += period_s
    return now_s


def test_mean_pass_time_is_accurate_after_one_second():
    """Guards against concurrency limits that lag behind a map change."""
    estimator = pass_time.PassTimeEstimator()
    now_s = add_reports(estimator, 1.0)
    assert estimator.pass_s(now_s) == pytest.approx(0.05, rel=0.2)


def test_stall_raises_the_pass_time_at_once():
    """Guards against a stall masked by the mean of earlier passes."""
    estimator = pass_time.PassTimeEstimator()
    now_s = add_reports(estimator, 1.0)
    last_step = int((now_s - 0.1) / 0.05)
    estimator.add(now_s + 0.5, 1, last_step, True)
    assert estimator.pass_s(now_s + 0.6) > 0.5


@pytest.mark.parametrize('busy', [True, False])
def test_group_that_was_idle_is_not_stalled(busy):
    """Guards against a group without passes that is taken for stalled.

    The group was idle; at the end it is still idle or has just become busy.
    """
    estimator = pass_time.PassTimeEstimator()
    estimator.add(0.0, 1, 7, False)
    estimator.add(5.0, 1, 7, busy)
    assert estimator.pass_s(5.05) < targets.STALLED_PASS_S
