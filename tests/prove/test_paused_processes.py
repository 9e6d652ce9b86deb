"""P4 with paused processes, and P8 with a caller that reads slowly."""

from __future__ import annotations

import asyncio
import signal

from standins import caller, deployment, engine, load

SEED = 20265
SHAPE = deployment.Shape(data_centres=('dc-a',), entries=2, engines=2, plain=0)
PAUSES_S = {
    'agent-engine-dc-a-0': 5.0,
    'engine-dc-a-1': 3.0,
    'entry-dc-a-1': 5.0,
}


def test_answers_are_exact_while_processes_are_paused(
    run_deployment, record_proof
):
    """Guards against a resumed process that acts on stale state."""
    print(f'seed {SEED}')
    inexact = []

    async def scenario(cluster):
        async with load.running(cluster, 12, (50, 400), SEED) as callers:
            await asyncio.sleep(2.0)
            for name, pause_s in PAUSES_S.items():
                cluster.processes[name].signal(signal.SIGSTOP)
                await asyncio.sleep(pause_s)
                cluster.processes[name].signal(signal.SIGCONT)
                await asyncio.sleep(4.0)
                print(name, callers.complete, dict(callers.refused))
        inexact.extend(callers.wrong)
        print(inexact)
        assert not inexact
        assert callers.complete > 50
        for item in cluster.named('engine-'):
            state = await cluster.get(f'{item.url}/load')
            assert state['running'] == 0, state

    run_deployment(scenario, SHAPE)
    record_proof(
        'P4',
        'agent, engine and entry paused for 3 to 5 s under load',
        SEED,
        f'{len(inexact)} inexact',
    )


def test_entry_stops_only_after_a_slow_caller_has_the_complete_answer(
    run_deployment, record_proof
):
    """Guards against an exit that loses buffered bytes of an answer."""

    async def scenario(cluster):
        entry = cluster.named('entry-')[0]
        document = caller.chat_request('slow', 45_000)
        async with cluster.http.post(
            f'{entry.url}/v1/chat/completions',
            json=document,
            headers={'Authorization': 'Bearer key-council'},
        ) as resp:
            stop = asyncio.create_task(cluster.terminate(entry.name, 120))
            raw = b''
            async for data in resp.content.iter_chunked(64 * 1024):
                raw += data
                if len(raw) < 4_000_000:
                    await asyncio.sleep(0.01)
                elif len(raw) < 4_300_000:
                    await asyncio.sleep(2.0)
            call_id = resp.headers['x-request-id']
        assert raw == engine.expected_stream(call_id, document)
        assert await stop == 0

    run_deployment(
        scenario,
        deployment.Shape(
            data_centres=('dc-a',),
            engines=1,
            plain=0,
            organisations={'council': {'max_tokens_per_call': 100_000}},
            engine_options=('--token-ms', '0.05'),
        ),
    )
    record_proof('P8', 'SIGTERM of an entry, slow reader of 8 MB')
