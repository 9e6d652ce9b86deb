"""Calls while an entry has no connection to any agent, for a short time.

All connections break at the same moment, and reconnecting takes a fraction of
a second.
"""

from __future__ import annotations

import asyncio
import time
import types

from wagtailhollow import errors
from wagtailhollow.internal.entry import agent_targets, attempt, call, calls
from wagtailhollow.internal.routing import load_view, prefix_affinity
from wagtailhollow.internal.table import model
from wagtailhollow.internal.wire import auth
from wagtailhollow.internal.wire.gen import ttypes

RECONNECT_S = 0.6
MAX_WAIT_S = 1.0
SERVICE = 'reports'

# The policy registers itself when imported.
_POLICIES = (prefix_affinity,)


class Connections:
    """Runner whose first attempt is lost together with all connections."""

    def __init__(self):
        self.attempts = 0
        self.lost_until_s = 0.0

    def is_connected(self, address):
        return time.monotonic() >= self.lost_until_s

    async def run(self, item, sink):
        self.attempts += 1
        if self.attempts == 1:
            self.lost_until_s = time.monotonic() + RECONNECT_S
            item.call.execution.may_have_run = True
            raise attempt.AttemptFailed(
                attempt.Phase.SENT,
                errors.Refusal(errors.ErrorKind.OUTCOME_UNKNOWN, 'lost'),
            )
        if not self.is_connected(item.candidate.address):
            raise attempt.AttemptFailed(
                attempt.Phase.REFUSED,
                errors.Refusal(errors.ErrorKind.NO_TARGET, 'no connection'),
            )


def new_view():
    view = load_view.LoadView()
    for name in ('t0', 't1'):
        load = ttypes.TargetLoad(
            target=name,
            service_name=SERVICE,
            running=0,
            queued=0,
            cap=4,
            state=ttypes.TargetState.IN_SERVICE,
            report_age_ms=0,
        )
        agent = auth.Identity(
            f'agent-{name}', ttypes.Role.AGENT, 'dc', 'd', 1, f'{name}:1'
        )
        view.record_report(agent, load, False)
    return view


def new_call():
    return call.Call(
        call_id='r1',
        organisation='org',
        service_name=SERVICE,
        service=model.Service(models=('m',)),
        method='POST',
        path='/',
        headers={},
        body=b'',
        idempotency_key=None,
        must_not_repeat=False,
        tokens=1,
        prefix='',
        deadline_s=time.monotonic() + 10.0,
    )


def test_call_waits_until_a_connection_is_back():
    """Guards against a call that fails within a few milliseconds.

    Attempts without a connection took no time and used up the rejections that
    a call may have, so that callers got 503 for a call that may have run.
    Found by test_whole_answers under frame faults.
    """
    table = types.SimpleNamespace(
        version=1,
        is_withdrawn=lambda data_centre, target: False,
        data_centre=lambda name: types.SimpleNamespace(weight=1.0),
        target=lambda name: types.SimpleNamespace(weight=1.0),
    )

    async def run():
        runner = Connections()
        targets = agent_targets.AgentTargets(
            new_view(), lambda: table, runner.is_connected
        )
        handler = calls.CallHandler(runner, targets, None, MAX_WAIT_S)
        await handler.handle(new_call(), types.SimpleNamespace())
        return runner.attempts

    assert asyncio.run(run()) == 2
