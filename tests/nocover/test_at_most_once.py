"""P5 and P6 with real processes that are killed, paused or cut off."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest

from standins import deployment, order_load
from tests import order_checks

SEED = 11
FAULTS_S = 8.0


@pytest.fixture(scope='module')
def run_scenario():
    """Return a function that runs a scenario on a shared deployment.

    The scenarios of this module use one deployment, since its start takes
    longer than a scenario.
    """
    loop = asyncio.new_event_loop()
    cluster = deployment.Deployment(order_load.SHAPE)
    loop.run_until_complete(cluster.__aenter__())

    async def run_and_recover(scenario):
        try:
            await scenario(cluster)
        finally:
            await _recover(cluster)

    yield lambda scenario: loop.run_until_complete(run_and_recover(scenario))
    loop.run_until_complete(cluster.__aexit__())
    loop.close()


NO_TARGET_FAULTS = {
    'delay_s': 0.0,
    'delay_before_s': 0.0,
    'fail_after': False,
    'cut_answer': False,
    'answer_bytes': 0,
}


def _urls(cluster):
    return [item.url for item in cluster.named('entry-')]


async def _set_target_faults(cluster, **faults):
    for item in cluster.named('plain-'):
        await cluster.faults(item.name, **faults)


async def _recover(cluster):
    await cluster.faults(
        'platform', down=False, lose_answers=0, mute_answers=0
    )
    await _set_target_faults(cluster, **NO_TARGET_FAULTS)
    for item in cluster.named('entry-'):
        item.signal(signal.SIGCONT)
        if item.process.returncode is not None:
            await cluster.restart(item.name)
    await cluster.wait_ready()
    await _wait_until_served(cluster)


async def _wait_until_served(cluster):
    """Wait until both entries have reconnected to agents, which takes 2 s."""
    for url in _urls(cluster):
        for _ in range(50):
            probe = order_load.Order('probe', False)
            if await order_load.send(cluster, url, probe) == 'result':
                break
            await asyncio.sleep(0.1)


async def _wait_until_executed(cluster, name):
    for _ in range(100):
        if (await order_load.executions(cluster))[name]:
            return
        await asyncio.sleep(0.03)
    raise AssertionError(f'{name} was not executed')


async def _target_of(cluster, name):
    for item in cluster.named('plain-'):
        if name in await cluster.get(f'{item.url}/executions'):
            return item.name
    raise AssertionError(f'{name} was not executed')


@pytest.mark.parametrize('method', ['POST', 'PUT'])
def test_call_runs_once_if_the_target_closes_the_connection_afterwards(
    run_scenario, record_proof, method
):
    """Guards against automatic retries by the HTTP client."""
    record_proof('P6', f'target closes after a {method} took effect')

    async def scenario(cluster):
        await _set_target_faults(cluster, fail_after=True)
        order = order_load.Order(f'after-{method}', True)
        for url in _urls(cluster):
            await order_load.send(cluster, url, order, method)
        await _set_target_faults(cluster, fail_after=False)
        await order_load.send(cluster, _urls(cluster)[0], order, method)
        assert (await order_load.executions(cluster))[order.name] == 1
        assert set(order.answers) == {'may_have_run'}, order

    run_scenario(scenario)


def test_answer_that_was_cut_is_never_reported_as_complete(
    run_scenario, record_proof
):
    """Guards against replaying a truncated answer as a complete one."""
    record_proof('P5', 'target cuts the answer; retry through another entry')

    async def scenario(cluster):
        await _set_target_faults(cluster, cut_answer=True, answer_bytes=3000)
        order = order_load.Order('cut', True)
        for url in _urls(cluster):
            await order_load.send(cluster, url, order)
        assert (await order_load.executions(cluster))['cut'] == 1
        assert 'result' not in order.answers
        assert order.answers[-1] == 'may_have_run', order

    run_scenario(scenario)


def test_outcome_of_an_unanswered_platform_write_is_determined(
    run_scenario, record_proof
):
    """Guards against failed calls after a platform write without an answer.

    The platform applies the write of a claim and then answers 500 or not at
    all.
    """
    record_proof('P6', 'platform answers lost, then silent after effect')

    async def scenario(cluster):
        for fault in ('lose_answers', 'mute_answers'):
            await cluster.faults('platform', **{fault: 1})
            order = order_load.Order(f'settled-{fault}', True)
            for url in _urls(cluster):
                await order_load.send(cluster, url, order, timeout_s=10)
            assert order.answers == ['result', 'result'], order
            assert (await order_load.executions(cluster))[order.name] == 1

    run_scenario(scenario)


def test_refusals_while_the_platform_is_down_are_true(
    run_scenario, record_proof
):
    """Guards against "not run" for a key whose first call was executed."""
    record_proof('P5', 'platform down before, during and after a call')

    async def scenario(cluster):
        first, second = _urls(cluster)
        done = order_load.Order('ran-before', True)
        assert await order_load.send(cluster, first, done) == 'result'
        await cluster.faults('platform', down=True)
        unkeyed = order_load.Order('unkeyed', False)
        assert await order_load.send(cluster, first, unkeyed) == 'not_run'
        assert await order_load.send(cluster, second, done) == 'may_have_run'
        assert done.error_kinds[-1] == 'platform_unavailable'
        await cluster.faults('platform', down=False)
        assert await order_load.send(cluster, second, done) == 'result'
        await _set_target_faults(cluster, delay_s=1.0)
        running = order_load.Order('ran-during', True)
        task = asyncio.create_task(order_load.send(cluster, first, running))
        await _wait_until_executed(cluster, 'ran-during')
        await cluster.faults('platform', down=True)
        assert await task == 'result'
        assert (
            await order_load.send(cluster, second, running) == 'may_have_run'
        )
        await cluster.faults('platform', down=False)
        assert await order_load.send(cluster, second, running) == 'result'
        counts = await order_load.executions(cluster)
        assert counts['unkeyed'] == 0
        assert counts['ran-before'] == counts['ran-during'] == 1

    run_scenario(scenario)


def test_caller_that_disconnects_or_loses_its_entry_gets_the_result_later(
    run_scenario, record_proof
):
    """Guards against a second execution when the first answer was lost."""
    record_proof('P6', 'caller leaves; entry killed; entry paused and resumed')

    async def scenario(cluster):
        first, second = _urls(cluster)
        entry = cluster.named('entry-')[0]
        await _set_target_faults(cluster, delay_s=0.6)
        left = order_load.Order('left', True)
        await order_load.send(cluster, first, left, timeout_s=0.3)
        await asyncio.sleep(0.6)
        assert await order_load.send(cluster, second, left) == 'result'
        paused = order_load.Order('paused', True)
        task = asyncio.create_task(order_load.send(cluster, first, paused))
        await _wait_until_executed(cluster, 'paused')
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(0.7)
        assert await order_load.send(cluster, second, paused) == 'result'
        entry.signal(signal.SIGCONT)
        assert await task == 'result'
        killed = order_load.Order('killed', True)
        task = asyncio.create_task(order_load.send(cluster, first, killed))
        await _wait_until_executed(cluster, 'killed')
        await cluster.kill(entry.name)
        assert await task == 'none'
        await asyncio.sleep(0.7)
        assert await order_load.send(cluster, second, killed) == 'result'
        await cluster.restart(entry.name)
        counts = await order_load.executions(cluster)
        assert counts['left'] == counts['paused'] == counts['killed'] == 1

    run_scenario(scenario)


def test_agent_that_restarts_during_a_call_leaves_it_unknown(
    run_scenario, record_proof
):
    """Guards against "not run" from an agent that lost its ledger."""
    record_proof('P5', 'agent killed during a call and restarted, twice')

    async def scenario(cluster):
        first, second = _urls(cluster)
        for turn in range(2):
            await _set_target_faults(cluster, delay_s=1.0)
            order = order_load.Order(f'restart-{turn}', True)
            task = asyncio.create_task(
                order_load.send(cluster, first, order, timeout_s=10)
            )
            await _wait_until_executed(cluster, order.name)
            ran_at = await _target_of(cluster, order.name)
            await cluster.kill(f'agent-{ran_at}')
            await cluster.restart(f'agent-{ran_at}')
            assert await task == 'may_have_run', order
            assert (
                await order_load.send(cluster, second, order) == 'may_have_run'
            )
            assert (await order_load.executions(cluster))[order.name] == 1

    run_scenario(scenario)


def test_organisations_do_not_share_a_key_and_no_secret_is_logged(
    run_scenario,
):
    """Guards against answers of other organisations and secrets in logs."""

    async def scenario(cluster):
        url = f'{_urls(cluster)[0]}/v1/services/orders/orders'
        for name in ('council', 'insurer'):
            headers = {
                'Authorization': f'Bearer key-{name}',
                'Idempotency-Key': 'shared',
            }
            body = {'key': f'for-{name}'}
            async with cluster.http.post(
                url, json=body, headers=headers
            ) as resp:
                assert (await resp.json())['key'] == f'for-{name}'
        for item in (*cluster.named('entry-'), *cluster.named('agent-')):
            text = item.log_text()
            for secret in ('key-council', 'key-insurer', 'not-a-real-secret'):
                assert secret not in text

    run_scenario(scenario)


def test_simultaneous_failures_run_each_order_at_most_once(
    run_deployment, record_proof
):
    """Guards against faults that only combinations of failures reveal.

    No order runs twice, and no caller gets an untrue "not run".
    """

    async def scenario(cluster):
        injector = order_load.FaultInjector(cluster, SEED)
        orders = await order_load.place_orders(cluster, injector, FAULTS_S)
        worst = order_checks.check(
            orders, await order_load.executions(cluster)
        )
        print(f'seed {SEED}: {worst}; {json.dumps(injector.counts)}')
        for guarantee in ('P5', 'P6'):
            record_proof(
                guarantee,
                'SIGKILL, SIGSTOP, platform, target; at once',
                SEED,
                worst,
            )

    run_deployment(scenario, order_load.SHAPE)
