"""P2: a target that is cold gets no more load than it can handle."""

from __future__ import annotations

import asyncio

from standins import deployment, load
from wagtailhollow.internal.agent import ramp
from wagtailhollow.internal.settings import schema

SEED = 20261
FALL_OVER = 24
GROWN_CAP = FALL_OVER // 2 + 1
TARGETS = 2
GROWTH_LIMIT_S = 60.0
"""Ends the test if the callers get no answers at all."""

# The table names what a warm target bears; the fake engine bears no more.
SHAPE = deployment.Shape(
    data_centres=('dc-a', 'dc-b'),
    entries=2,
    engines=1,
    plain=0,
    engine_options=(
        '--fall-over', str(FALL_OVER), '--warm-after', str(FALL_OVER),
    ),
)  # fmt: skip


def _answers_to_grow() -> int:
    """Return after how many answers the cap of a target has grown.

    The targets share the answers, and those to calls that began before the
    target was cold do not count.
    """
    cap = ramp.Ramp(schema.RampSettings())
    needed = 0
    while cap.cap < GROWN_CAP:
        cap.completed(cap.cap, cap.epoch)
        needed += 1
    return TARGETS * (needed + FALL_OVER)


async def _wait_cap_grown(cluster, callers):
    """Wait until a target is used well above the cap of a cold one.

    How long that takes depends on the answers that it completes, which a
    slow machine completes later; so answers are counted and not seconds.
    """
    before, allowed = callers.whole, _answers_to_grow()
    async with asyncio.timeout(GROWTH_LIMIT_S):
        while True:
            answers = callers.whole - before
            peaks = [
                state['peak_running']
                for state in (await _engine_state(cluster)).values()
            ]
            if max(peaks) >= GROWN_CAP:
                print(f'grown to {peaks} with {answers} answers')
                return
            assert answers <= allowed, (
                f'the cap has to grow again: peaks {peaks} after {answers} '
                f'answers, {allowed} have to do'
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


def test_cold_targets_never_fall_over_under_more_load_than_they_bear(
    run_deployment, record_proof
):
    """Guards against full load on a target that has just become cold."""
    print(f'seed {SEED}')
    falls = {}

    async def scenario(cluster):
        await cluster.edit_table(
            {
                f'target/target-agent-{item.name}': {
                    'max_concurrent': FALL_OVER
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
                whole = callers.whole
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
                    f'{callers.whole - whole}, peaks',
                    [state['peak_running'] for state in after.values()],
                )
                assert callers.whole > whole, name
            # A new process counts its peak anew.
            await asyncio.gather(
                *(
                    _kill_and_restart(cluster, item.name)
                    for item in cluster.named('engine-')
                )
            )
            await _wait_cap_grown(cluster, callers)
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
