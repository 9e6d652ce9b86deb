"""Tests of the admission of calls at the entry."""

from __future__ import annotations

import asyncio
import time

import pytest

from wagtailhollow import errors
from wagtailhollow.internal.entry import admission, call
from wagtailhollow.internal.limits import fair_share
from wagtailhollow.internal.routing import load_view
from wagtailhollow.internal.settings import schema
from wagtailhollow.internal.table import model, queries
from wagtailhollow.internal.wire import auth
from wagtailhollow.internal.wire.gen import ttypes

ROWS = {
    'service/reports': {'models': ['m']},
    'organisation/large': {'weight': 2.0},
    'organisation/small': {'weight': 1.0},
}


class NoLimits:
    """Limits that admit every call and record the settled tokens."""

    def __init__(self):
        self.settled = []

    async def reserve(self, organisation, tokens):
        return self

    def settle(self, used_tokens):
        self.settled.append(used_tokens)


class SingleTarget:
    """An admission with one target."""

    def __init__(self, cap=2, entries=1, **limits):
        self.view = load_view.LoadView()
        table = queries.TableView(model.Table(1, ROWS))
        self.capacity = admission.ServiceCapacity(
            self.view, lambda: table, lambda: entries
        )
        self.limits = NoLimits()
        self.admission = admission.Admission(
            schema.RequestLimits(**limits),
            self.limits,
            self.capacity,
            lambda: table,
        )
        self.report(cap)

    def report(self, cap, running=0):
        load = ttypes.TargetLoad(
            't', 'reports', ttypes.TargetState.IN_SERVICE, running, 0, cap,
            report_age_ms=0,
        )  # fmt: skip
        agent = auth.Identity('agent', ttypes.Role.AGENT, 'dc', 'd', 1)
        self.view.record_report(agent, load, False)
        self.admission.apply_load_report(load)

    def call(self, organisation='small', tokens=100, queue_limit=512):
        return call.Call(
            'id', organisation, 'reports',
            model.Service(queue_limit=queue_limit), 'POST', '/', {}, b'',
            None, False, tokens, '', time.monotonic() + 10,
        )  # fmt: skip

    async def run(self, served, organisation, hold_s=0.005, **kwargs):
        item = self.call(organisation, **kwargs)
        async with self.admission.admit(item) as admitted:
            self.view.started('t')
            served.append(organisation)
            await asyncio.sleep(hold_s)
            self.view.finished('t')
            admitted.set_used_tokens(10)


def test_waiting_calls_are_served_by_weight_and_not_by_arrival():
    """Guards against a burst of one organisation delaying the others."""

    async def scenario():
        setup = SingleTarget(cap=3)
        served = []
        await asyncio.gather(
            *(setup.run(served, 'large') for _ in range(30)),
            *(setup.run(served, 'small') for _ in range(15)),
        )
        return served

    served = asyncio.run(scenario())
    assert len(served) == 45
    assert 8 <= served[3:33].count('small') <= 12


def test_full_queue_evicts_calls_of_the_organisation_above_its_share():
    """Guards against refusals for organisations below their share."""

    async def scenario():
        setup = SingleTarget(cap=1, max_waiting_calls=10)
        served = []
        flood = [
            asyncio.create_task(setup.run(served, 'large')) for _ in range(40)
        ]
        await asyncio.sleep(0)
        await asyncio.gather(*(setup.run(served, 'small') for _ in range(3)))
        return await asyncio.gather(*flood, return_exceptions=True)

    refused = [item for item in asyncio.run(scenario()) if item]
    # One call runs and 10 wait: 29 are refused, and 3 are evicted later.
    assert len(refused) == 32
    assert all(
        item.kind is errors.ErrorKind.OVERLOADED and item.retry_after_s >= 1
        for item in refused
    )


def test_wait_is_bounded_and_ended_waits_free_their_slots():
    """Guards against unbounded waits and leaked slots."""

    async def scenario():
        setup = SingleTarget(cap=1, max_wait_s=0.05)
        served = []
        first = asyncio.create_task(setup.run(served, 'small', 0.2))
        await asyncio.sleep(0)
        start_s = time.monotonic()
        with pytest.raises(errors.Refusal) as caught:
            await setup.run(served, 'large')
        waited_s = time.monotonic() - start_s
        cancelled = asyncio.create_task(setup.run(served, 'large'))
        await asyncio.sleep(0.01)
        cancelled.cancel()
        await first
        await setup.run(served, 'large')
        return caught.value, waited_s, served, setup.limits.settled

    refusal, waited_s, served, settled = asyncio.run(scenario())
    assert refusal.answer.execution is errors.Execution.NOT_RUN
    assert waited_s < 0.2
    assert served == ['small', 'large']
    assert sorted(settled) == [0, 0, 10, 10]


def test_limit_follows_reported_caps_and_calls_of_other_entries():
    """Guards against exceeding the cap of a target."""
    setup = SingleTarget(cap=4)
    assert setup.capacity.limit('reports') == 4
    setup.report(cap=8, running=5)
    assert setup.capacity.limit('reports') == 3
    setup.view.started('t')
    assert setup.capacity.limit('reports') == 3
    setup.report(cap=8, running=6)
    setup.view.finished('t')
    assert setup.capacity.limit('reports') == 3
    assert setup.capacity.limit('unknown') is None
    shared = SingleTarget(cap=12, entries=3)
    assert shared.capacity.limit('reports') == 4 + 8 // 3


@pytest.mark.parametrize(
    ('kind', 'cost'),
    [
        (errors.ErrorKind.TARGET_FULL, 0),
        (errors.ErrorKind.ANSWER_INCOMPLETE, 100),
    ],
)
def test_failed_call_costs_nothing_only_if_it_did_not_run(kind, cost):
    """Guards against uncharged tokens of truncated answers."""

    async def scenario():
        setup = SingleTarget()
        with pytest.raises(errors.Refusal):
            async with setup.admission.admit(setup.call()):
                raise errors.Refusal(kind, 'test')
        return setup.limits.settled

    assert asyncio.run(scenario()) == [cost]


def test_call_above_the_token_limit_is_refused_without_retry():
    """Guards against advice to retry a call that is never admitted."""

    async def scenario():
        setup = SingleTarget()
        with pytest.raises(errors.Refusal) as caught:
            async with setup.admission.admit(setup.call(tokens=5_000)):
                pass
        return caught.value

    refusal = asyncio.run(scenario())
    assert refusal.answer.retry is errors.Retry.NO


def test_slot_goes_to_the_organisation_with_least_use_for_its_weight():
    """Guards against admission in the order of arrival or of names."""
    weights = {'a': 1.0, 'b': 3.0}
    queue = fair_share.FairQueue(weights.get)
    for name in 'aaabbb':
        queue.push(name, name)
    order = []
    while len(queue):
        name, _ = queue.pop_next()
        queue.acquire_slot(name)
        order.append(name)
    assert order[:4].count('b') == 3


def test_target_with_fewer_slots_than_entries_gets_a_first_call():
    """Guards against shares that round to 0 and admit no call at all."""
    setup = SingleTarget(cap=2, entries=6)
    assert setup.capacity.limit('reports') == 1
    setup.report(cap=2, running=2)
    assert setup.capacity.limit('reports') == 0
