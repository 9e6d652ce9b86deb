"""P4: each caller gets all bytes of its own answer, or an error."""

from __future__ import annotations

import asyncio
import time

from standins import caller, deployment, load, relay

SEED = 20262
SHAPE = deployment.Shape(
    data_centres=('dc-a',),
    entries=2,
    engines=2,
    plain=0,
    engine_options=('--token-ms', '5'),
)
AGENTS = ('agent-engine-dc-a-0', 'agent-engine-dc-a-1')


async def _insert_relays(cluster):
    """Route all connections between entries and agents through relays."""
    relays = []
    for number, name in enumerate(AGENTS):
        item = relay.Relay(cluster.processes[name].peer_address, SEED + number)
        relays.append(item)
        await cluster.set_host(name, address=await item.start())
    await asyncio.sleep(2.0)
    return relays


async def _start_streams(cluster, count, tokens):
    """Start *count* streams, distributed over the entries in turn."""
    client = caller.Caller(cluster.http)
    entries = cluster.named('entry-')

    async def stream(number):
        document = caller.chat_request(f'rope {number}', tokens)
        url = entries[number % len(entries)].url
        return await client.chat(url, document), document

    return [asyncio.create_task(stream(number)) for number in range(count)]


async def _assert_exact(tasks):
    for answer, document in await asyncio.gather(*tasks):
        assert answer.is_complete, (answer.status, answer.error)
        assert load.is_exact(answer, document)
    return len(tasks)


async def _warm_up(cluster):
    """Raise the targets' caps, so that later streams are admitted at once."""
    async with load.running(cluster, 8, (5, 10), SEED) as callers:
        await asyncio.sleep(1.5)
    assert not callers.wrong, callers.wrong


def test_answers_are_exact_over_faulty_connections_and_agent_restart(
    run_deployment, record_proof
):
    """Guards against lost, repeated, reordered and mixed-up bytes."""
    print(f'seed {SEED}')
    figures = {}

    async def scenario(cluster):
        relays = await _insert_relays(cluster)
        await _warm_up(cluster)
        for item in relays:
            item.faults = relay.FrameFaults(0.05, 0.01, 0.002, 0.01)
        async with load.running(cluster, 8, (20, 120), SEED) as callers:
            await asyncio.sleep(3.0)
        for item in relays:
            item.faults = relay.FrameFaults()
        counts = sum((item.counts for item in relays), start=relays[0].counts)
        figures['exact under frame faults'] = callers.complete
        print(dict(counts), callers.complete, dict(callers.refused))
        assert not callers.wrong, callers.wrong
        assert callers.complete > 20

        await _warm_up(cluster)
        tasks = await _start_streams(cluster, 4, 300)
        await asyncio.sleep(0.5)
        relays[0].drop_traffic()
        relays[1].cut()
        start_s = time.monotonic()
        await _assert_exact(tasks)
        figures['s through silence'] = round(time.monotonic() - start_s, 1)

        tasks = await _start_streams(cluster, 4, 300)
        await asyncio.sleep(0.5)
        await cluster.kill(AGENTS[0])
        await cluster.restart(AGENTS[0])
        await _assert_exact(tasks)
        figures['exact through a killed agent'] = len(tasks)

        await cluster.faults('engine-dc-a-0', cross_answers=True)
        await _assert_exact(await _start_streams(cluster, 4, 40))
        for item in relays:
            await item.stop()

    run_deployment(scenario, SHAPE)
    print(figures)
    record_proof(
        'P4',
        'late, crossed, duplicated and cut frames, silent and cut '
        'connections, agent killed and restarted, crossed answers',
        SEED,
        f'0 inexact, {figures}',
    )
