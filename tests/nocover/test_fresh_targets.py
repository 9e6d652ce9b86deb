"""P2: a cold target gets no more load than it can serve."""

from __future__ import annotations

import asyncio

from standins import deployment, load
from wagtailhollow.internal.agent import ramp
from wagtailhollow.internal.settings import schema

SEED = 20261
WARM_CAPACITY = 24
RAISED_CAP = WARM_CAPACITY // 2 + 1
TARGETS = 2
RAISE_TIMEOUT_S = 60.0
"""Time limit in case the callers get no answers at all."""

# The table sets max_concurrent to the number of calls that a warm target can
# serve; the fake engine fails above it.
SHAPE = deployment.Shape(
    data_centres=('dc-a', 'dc-b'),
    entries=2,
    engines=1,
    plain=0,
    engine_options=(
        '--fall-over', str(WARM_CAPACITY), '--warm-after', str(WARM_CAPACITY),
    ),
)  # fmt: skip


def _answers_until_raised() -> int:
    """Return the number of answers after which a target's cap is raised.

    The answers are distributed over the targets, and answers to calls that
    started before the target became cold do not count.
    """
    cap = ramp.Ramp(schema.RampSettings())
    needed = 0
    while cap.cap < RAISED_CAP:
        cap.completed(cap.cap, cap.epoch)
        needed += 1
    return TARGETS * (needed + WARM_CAPACITY)


async def _wait_until_cap_raised(cluster, callers):
    """Wait until a target runs far more calls than the cap of a cold one.

    The limit is a number of answers and not a time: the cap is raised by
    completed answers, which take longer on a slow machine.
    """
    before, allowed = callers.complete, _answers_until_raised()
    async with asyncio.timeout(RAISE_TIMEOUT_S):
        while True:
            answers = callers.complete - before
            peaks = [
                state['peak_running']
                for state in (await _engine_state(cluster)).values()
            ]
            if max(peaks) >= RAISED_CAP:
                print(f'raised to {peaks} after {answers} answers')
                return
            assert answers <= allowed, (
                f'the cap failed to rise again: peaks {peaks} after '
                f'{answers} answers, {allowed} should suffice'
            )
            await asyncio.sleep(0.05)


async def _engine_state(cluster):
    return {
        item.name: await cluster.get(f'{item.url}/load')
        for item in cluster.named('engine-')
    }


async def _kill_and_restart(cluster, name):
    await cluster.kill(name)
    await cluster.restart(name)


async def _return_data_centre(cluster, name):
    await cluster.edit_table({f'data_centre/{name}': {'state': 'withdrawn'}})
    await asyncio.sleep(0.5)
    await cluster.faults(f'engine-{name}-0', cold='cache')
    await cluster.edit_table({f'data_centre/{name}': {'state': 'in_service'}})


def test_cold_targets_never_get_more_load_than_they_can_serve(
    run_deployment, record_proof
):
    """Guards against overload of a target that has just become cold.

    A target becomes cold by a restart, by the loss of its cache or after a
    withdrawal; the agent may be restarted at the same time.
    """
    print(f'seed {SEED}')
    falls = {}

    async def scenario(cluster):
        await cluster.edit_table(
            {
                f'target/target-agent-{item.name}': {
                    'max_concurrent': WARM_CAPACITY
                }
                for item in cluster.named('engine-')
            }
        )
        steps = {
            'fresh start': lambda: asyncio.sleep(0),
            'cold, new generation': lambda: cluster.faults(
                'engine-dc-a-0', cold=True
            ),
            'cold, cache lost': lambda: cluster.faults(
                'engine-dc-b-0', cold='cache'
            ),
            'agent killed': lambda: _kill_and_restart(
                cluster, 'agent-engine-dc-a-0'
            ),
            'agent killed, target cold meanwhile': lambda: asyncio.gather(
                _kill_and_restart(cluster, 'agent-engine-dc-b-0'),
                cluster.faults('engine-dc-b-0', cold='cache'),
            ),
            'target restarted': lambda: _kill_and_restart(
                cluster, 'engine-dc-a-0'
            ),
            'data centre returns': lambda: _return_data_centre(
                cluster, 'dc-b'
            ),
        }
        async with load.running(cluster, 56, (20, 60), SEED) as callers:
            for name, step in steps.items():
                whole = callers.complete
                before = await _engine_state(cluster)
                await step()
                await asyncio.sleep(1.2)
                after = await _engine_state(cluster)
                falls[name] = sum(
                    state['falls']
                    - (
                        before[engine]['falls']
                        if state['started'] >= before[engine]['started']
                        else 0
                    )
                    for engine, state in after.items()
                )
                print(
                    f'{name}: falls {falls[name]}, whole answers '
                    f'{callers.complete - whole}, peaks',
                    [state['peak_running'] for state in after.values()],
                )
                assert callers.complete > whole, name
            # Restarted because a new process counts its peak from zero.
            await asyncio.gather(
                *(
                    _kill_and_restart(cluster, item.name)
                    for item in cluster.named('engine-')
                )
            )
            await _wait_until_cap_raised(cluster, callers)
            after = await _engine_state(cluster)
            falls['growth'] = sum(item['falls'] for item in after.values())
        assert not any(falls.values()), falls

    run_deployment(scenario, SHAPE)
    record_proof(
        'P2',
        ', '.join(falls),
        SEED,
        f'{sum(falls.values())} falls',
    )
