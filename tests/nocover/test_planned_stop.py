"""P7 and P8: planned stops of agents and entries under load."""

from __future__ import annotations

import asyncio
import statistics
import time

from standins import deployment, load

SEED = 20263
SHAPE = deployment.Shape(
    data_centres=('dc-a',),
    entries=2,
    engines=2,
    plain=0,
    entry_settings={'drain_notice_s': 1.0},
)
BALANCER_LAG_S = 0.5
OBSERVED_S = 2.5
MAX_LAST_CALL_S = 2.0
"""Bound on the last new call, below the time for which calls are observed."""


async def stop_agent_by_host_list(cluster, name):
    """Announce, stop and start an agent.

    Returns the time from the announcement to the last call that the engine
    started, 0 if there was none after it.
    """
    engine = cluster.processes[name.removeprefix('agent-')]
    announced_at = time.time()
    await cluster.set_host(name, state='leaving')
    await asyncio.sleep(OBSERVED_S)
    state = await cluster.get(f'{engine.url}/load')
    assert await cluster.terminate(name) == 0
    await cluster.set_host(name, state='live')
    await cluster.restart(name)
    await cluster.wait_answers(cluster.processes[name], '/readyz')
    return max(0.0, state['last_started_at'] - announced_at)


async def stop_agent_by_signal(cluster, name):
    """Stop an agent without any announcement but the signal, and start it."""
    engine = cluster.processes[name.removeprefix('agent-')]
    signalled_at = time.time()
    assert await cluster.terminate(name) == 0
    state = await cluster.get(f'{engine.url}/load')
    await cluster.restart(name)
    await cluster.wait_answers(cluster.processes[name], '/readyz')
    return max(0.0, state['last_started_at'] - signalled_at)


async def stop_entry(cluster, callers, name):
    """Stop an entry as a balancer sees it, and start it again."""
    entry = cluster.processes[name]
    stop = asyncio.create_task(cluster.terminate(name))
    await asyncio.sleep(BALANCER_LAG_S)
    callers.urls.remove(entry.url)
    assert await stop == 0
    await cluster.restart(name)
    await cluster.wait_answers(entry, '/readyz')
    callers.urls.append(entry.url)


async def stop_in_turn(cluster, callers, listed, signalled, entries):
    """Stop and start these processes; return both lists of times."""
    by_list = [await stop_agent_by_host_list(cluster, name) for name in listed]
    by_signal = [
        await stop_agent_by_signal(cluster, name) for name in signalled
    ]
    for name in entries:
        await stop_entry(cluster, callers, name)
    return by_list, by_signal


def test_planned_stops_cut_nothing_and_leaving_targets_get_no_new_call(
    run_deployment, record_proof
):
    """Guards against answers cut, and calls sent, by a planned stop."""
    print(f'seed {SEED}')
    figures = []

    async def scenario(cluster):
        async with load.running(cluster, 12, (20, 150), SEED) as callers:
            await asyncio.sleep(0.5)
            figures.extend(
                await stop_in_turn(
                    cluster,
                    callers,
                    ['agent-engine-dc-a-0'],
                    ['agent-engine-dc-a-1'],
                    ['entry-dc-a-0'],
                )
            )
            print(figures)
        print(callers.whole, dict(callers.refused))
        assert not callers.wrong, callers.wrong
        assert callers.whole > 100
        assert max(map(max, figures)) < MAX_LAST_CALL_S, figures
        figures.append(callers.whole)

    run_deployment(scenario, SHAPE)
    listed, signalled, whole = figures
    print(
        f'host list: median {statistics.median(listed):.2f} s, worst '
        f'{max(listed):.2f} s; signal: median '
        f'{statistics.median(signalled):.2f} s, worst {max(signalled):.2f} s'
    )
    record_proof(
        'P7',
        'leaving by host list and by SIGTERM under load',
        SEED,
        f'last new call {max(listed + signalled):.2f} s after',
    )
    record_proof(
        'P8',
        'SIGTERM of agents and an entry under load',
        SEED,
        f'0 cut of {whole} answers',
    )
