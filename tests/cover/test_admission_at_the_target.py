"""Admission of calls by an agent and the release of their slots."""

from __future__ import annotations

import asyncio
import dataclasses

import pytest

from wagtailhollow import errors
from wagtailhollow.internal.agent import (
    admission,
    calls,
    ledger,
    ramp,
    watcher,
)
from wagtailhollow.internal.agent.backends import registry
from wagtailhollow.internal.settings import schema
from wagtailhollow.internal.table import model, queries
from wagtailhollow.internal.wire import auth, connection
from wagtailhollow.internal.wire.gen import ttypes

WARM = registry.BackendLoad(
    1, 0, completed=500, uptime_s=100.0, cached_prefixes=40
)


class _Target:
    """A backend whose calls run until they are cancelled."""

    can_resume = True

    def __init__(self, load):
        self.report = load
        self.polls = 0
        self.started = []
        self.is_cancellable = True

    async def load(self):
        self.polls += 1
        return self.report

    async def start(self, call):
        self.started.append(call.call_id)
        await asyncio.Event().wait()

    async def cancel(self, call_id):
        return self.is_cancellable


class _Conn:
    is_open = True
    peer = auth.Identity('entry-1', ttypes.Role.ENTRY, 'dc-a', 'demo', 1)

    def send_nowait(self, message):
        pass


class _Agent:
    """The components of an agent that decide on admission."""

    def __init__(self, load, **ramp_settings):
        view = queries.TableView(model.Table(1, {}))
        self.target = _Target(load)
        self.ramp = ramp.Ramp(schema.RampSettings(**ramp_settings))
        self.admission = admission.AdmissionController(
            'dc-a', 'target-1', self.ramp, lambda: view
        )
        self.watcher = watcher.TargetWatcher(
            self.target, self.admission, self.ramp
        )
        self.handlers = connection.Handlers()
        self.calls = calls.CallServer(
            'target-1',
            1,
            self.target,
            self.admission,
            self.ramp,
            self.watcher,
            ledger.Ledger(),
            self._catch_up,
            lambda: None,
            self.handlers,
        )

    async def _catch_up(self, conn, version):
        await asyncio.sleep(0)

    async def dispatch(self, call_id):
        message = ttypes.Dispatch(
            call_id, 1, 'target-1', 1, 60_000, 1, 'council', 'reports',
            'POST', '/', {}, b'', 0, 1000,
        )  # fmt: skip
        return await self.handlers.requests[ttypes.Dispatch](_Conn(), message)

    def cancel(self, call_id):
        message = ttypes.CancelCall(call_id, 1)
        self.handlers.one_way[ttypes.CancelCall](_Conn(), message)


def test_calls_of_an_earlier_agent_count_until_they_end():
    """Guards against overload of a target whose agent was restarted.

    The new agent would admit a full load although calls that the earlier
    agent started still run.
    """

    async def go():
        agent = _Agent(dataclasses.replace(WARM, running=2, uptime_s=1.0))
        await agent.watcher.poll()
        assert (await agent.dispatch('a')).kind == 'target_full'
        agent.target.report = dataclasses.replace(WARM, running=1)
        await agent.watcher.poll()
        assert (await agent.dispatch('b')).accepted
        assert agent.admission.untracked_running == 1
        agent.target.report = dataclasses.replace(WARM, running=9)
        await agent.watcher.poll()
        assert agent.admission.untracked_running == 1
        agent.cancel('b')
        await asyncio.sleep(0.01)

    asyncio.run(go())


def test_each_load_report_allows_as_many_starts_as_the_initial_cap():
    """Guards against a burst at a target that became cold after a report."""

    async def go():
        agent = _Agent(dataclasses.replace(WARM, running=0), initial_cap=2)
        await agent.watcher.poll()
        agent.ramp._cap = 20.0
        replies = await asyncio.gather(
            *(agent.dispatch(f'call-{number}') for number in range(2))
        )
        assert all(reply.accepted for reply in replies)
        assert agent.target.polls == 1
        agent.target.report = dataclasses.replace(WARM, cached_prefixes=2)
        reply = await agent.dispatch('call-3')
        assert reply.kind == 'target_full'
        assert agent.target.polls == 2
        for number in range(2):
            agent.cancel(f'call-{number}')
        await asyncio.sleep(0.01)

    asyncio.run(go())


def test_cancellation_received_during_its_dispatch_takes_effect():
    """Guards against the execution of a call that was cancelled.

    The cancellation arrives while the dispatch waits for the table.
    """

    async def go():
        agent = _Agent(WARM)
        await agent.watcher.poll()
        dispatch = asyncio.create_task(agent.dispatch('a'))
        await asyncio.sleep(0)
        agent.cancel('a')
        assert (await dispatch).kind == 'stale_order'
        assert not agent.target.started

    asyncio.run(go())


@pytest.mark.parametrize('is_cancellable', [True, False])
def test_slot_of_a_cancelled_call_is_free_once_the_target_stopped_it(
    is_cancellable,
):
    """Guards against slots that leak or are freed while the call runs."""

    async def go():
        agent = _Agent(WARM)
        agent.target.is_cancellable = is_cancellable
        await agent.watcher.poll()
        assert (await agent.dispatch('a')).accepted
        # Cancelled before the task of the call has taken its first step.
        agent.cancel('a')
        await asyncio.sleep(0.01)
        assert agent.calls.running == 0
        assert agent.admission.running == 0
        assert agent.admission.untracked_running == (
            0 if is_cancellable else 1
        )

    asyncio.run(go())


def test_calls_from_before_a_reset_do_not_raise_the_cap():
    """Guards against a cap raised by calls that a warm target completed."""
    cap_ramp = ramp.Ramp(schema.RampSettings())
    cap_ramp.observe(WARM)
    epoch = cap_ramp.epoch
    assert cap_ramp.observe(dataclasses.replace(WARM, generation=2))
    for _ in range(50):
        cap_ramp.completed(cap_ramp.cap, epoch)
    assert cap_ramp.cap == 2
    for _ in range(2):
        cap_ramp.completed(cap_ramp.cap, cap_ramp.epoch)
    assert cap_ramp.cap == 3


@pytest.mark.parametrize(
    'cold',
    [
        {'generation': 2},
        {'uptime_s': 1.0},
        {'completed': 3},
        {'cached_prefixes': 2},
        {'first_token_ms': 900.0},
    ],
)
def test_each_sign_of_a_cold_target_resets_the_cap(cold):
    """Guards against full load on a target that became cold."""
    cap_ramp = ramp.Ramp(schema.RampSettings())
    last = dataclasses.replace(WARM, first_token_ms=50.0)
    cap_ramp.observe(last)
    assert not cap_ramp.observe(last)
    assert cap_ramp.observe(dataclasses.replace(last, **cold))


@pytest.mark.parametrize(
    ('uptime_s', 'completed', 'cap'), [(60, 400, 12), (3, 400, 2), (60, 9, 2)]
)
def test_restarted_agent_adopts_the_load_of_a_warm_target_only(
    uptime_s, completed, cap
):
    """Guards against a cap that a restarted agent sets too high.

    The running calls show what the target can serve only if it is warm.
    """
    cap_ramp = ramp.Ramp(schema.RampSettings())
    cap_ramp.observe(
        registry.BackendLoad(1, 12, completed=completed, uptime_s=uptime_s)
    )
    assert cap_ramp.cap == cap


def test_leaving_target_refuses_new_calls():
    """Guards against new calls on a host that the host list has as leaving."""

    async def go():
        agent = _Agent(WARM)
        await agent.watcher.poll()
        agent.admission.is_listed_as_leaving = True
        reply = await agent.dispatch('a')
        assert reply.kind == errors.ErrorKind.TARGET_DRAINING.value
        assert agent.admission.state() == ttypes.TargetState.DRAINING

    asyncio.run(go())
