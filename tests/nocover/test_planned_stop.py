"""P7 and P8: planned stops of agents and of entries under load."""

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
BALANCER_DELAY_S = 0.5
OBSERVATION_S = 2.5
MAX_LAST_CALL_S = 2.0
"""Limit on the time until the last new call; shorter than the observation."""

CALM_S = 3.0
MIN_RATE_SHARE = 0.8
"""Least rate of complete answers during the stops, as a share of that before
them. The callers' load leaves one engine's slots free, so that the other one
can be replaced."""


async def stop_agent_by_host_list(cluster, name):
    """Announce in the host list that an agent leaves, stop and restart it.

    Returns the time from the announcement until the last call that the engine
    started, 0 if it started none afterwards.
    """
    engine = cluster.processes[name.removeprefix('agent-')]
    announced_at = time.time()
    await cluster.set_host(name, state='leaving')
    await asyncio.sleep(OBSERVATION_S)
    state = await cluster.get(f'{engine.url}/load')
    assert await cluster.terminate(name) == 0
    await cluster.set_host(name, state='live')
    await cluster.restart(name)
    await cluster.wait_until_ok(cluster.processes[name], '/readyz')
    return max(0.0, state['last_started_at'] - announced_at)


async def stop_agent_by_signal(cluster, name):
    """Stop an agent by a signal only, without announcement, and restart it.

    Returns the time from the signal until the last call that the engine
    started, 0 if it started none afterwards.
    """
    engine = cluster.processes[name.removeprefix('agent-')]
    signalled_at = time.time()
    assert await cluster.terminate(name) == 0
    state = await cluster.get(f'{engine.url}/load')
    await cluster.restart(name)
    await cluster.wait_until_ok(cluster.processes[name], '/readyz')
    return max(0.0, state['last_started_at'] - signalled_at)


async def stop_entry(cluster, callers, name):
    """Stop an entry, remove it from the callers' list later, and restart it.

    The delay is that of a load balancer that notices the stop.
    """
    entry = cluster.processes[name]
    stop = asyncio.create_task(cluster.terminate(name))
    await asyncio.sleep(BALANCER_DELAY_S)
    callers.urls.remove(entry.url)
    assert await stop == 0
    await cluster.restart(name)
    await cluster.wait_until_ok(entry, '/readyz')
    callers.urls.append(entry.url)


async def complete_per_s(callers, work):
    """Await *work*; return the rate of complete answers and its result."""
    before, start_s = callers.complete, time.monotonic()
    result = await work
    took_s = time.monotonic() - start_s
    return (callers.complete - before) / took_s, result


async def stop_in_turn(cluster, callers, listed, signalled, entries):
    """Stop and restart the processes one by one; return the agents' times."""
    by_list = [await stop_agent_by_host_list(cluster, name) for name in listed]
    by_signal = [
        await stop_agent_by_signal(cluster, name) for name in signalled
    ]
    for name in entries:
        await stop_entry(cluster, callers, name)
    return by_list, by_signal


def test_planned_stops_cut_no_answers_and_leaving_targets_get_no_new_calls(
    run_deployment, record_proof
):
    """Guards against cut answers and new calls in a planned stop."""
    print(f'seed {SEED}')
    figures = []

    async def scenario(cluster):
        async with load.running(cluster, 12, (20, 150), SEED) as callers:
            await asyncio.sleep(0.5)
            calm_rate, _ = await complete_per_s(callers, asyncio.sleep(CALM_S))
            rate, times = await complete_per_s(
                callers,
                stop_in_turn(
                    cluster,
                    callers,
                    ['agent-engine-dc-a-0'],
                    ['agent-engine-dc-a-1'],
                    ['entry-dc-a-0'],
                ),
            )
            figures.extend(times)
            print(figures, calm_rate, rate)
        print(callers.complete, dict(callers.refused))
        assert not callers.wrong, callers.wrong
        assert calm_rate > 0
        assert rate >= MIN_RATE_SHARE * calm_rate
        assert max(map(max, figures)) < MAX_LAST_CALL_S, figures
        figures.append(callers.complete)

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
