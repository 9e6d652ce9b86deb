"""P7 and P8 while every agent and entry of two data centres restarts."""

from __future__ import annotations

import asyncio
import statistics

from standins import caller, deployment, load, relay
from tests.nocover import test_planned_stop as planned

SEED = 20264


def test_rolling_stop_of_all_agents_and_entries_truncates_no_answer(
    run_deployment, record_proof
):
    """Guards against answers truncated by a rolling restart."""
    print(f'seed {SEED}')
    figures = []

    async def scenario(cluster):
        agents = [item.name for item in cluster.named('agent-')]
        entries = [item.name for item in cluster.named('entry-')]
        async with load.running(cluster, 16, (20, 150), SEED) as callers:
            await asyncio.sleep(1.0)
            figures.extend(
                await planned.stop_in_turn(
                    cluster, callers, agents, agents, entries
                )
            )
        print(figures, callers.complete, dict(callers.refused))
        assert not callers.wrong, callers.wrong
        assert max(map(max, figures)) < planned.MAX_LAST_CALL_S
        figures.append(callers.complete)

    run_deployment(
        scenario,
        deployment.Shape(
            data_centres=('dc-a', 'dc-b'), entries=2, engines=2, plain=0
        ),
    )
    listed, signalled, complete = figures
    for guarantee, times in (('P7', listed), ('P7', signalled)):
        record_proof(
            guarantee,
            'all agents leave under load, '
            + ('by host list' if times is listed else 'by SIGTERM'),
            SEED,
            f'last new call median {statistics.median(times):.2f} s, '
            f'worst {max(times):.2f} s',
        )
    record_proof(
        'P8',
        'rolling SIGTERM of all agents and entries',
        SEED,
        f'0 cut of {complete} answers',
    )


def test_agent_stops_only_after_a_silent_connection_was_resumed(
    run_deployment, record_proof
):
    """Guards against an agent that exits with undelivered bytes.

    The connection to the entry drops all traffic, so that the entry has to
    resume the stream on a new one.
    """

    async def scenario(cluster):
        name = 'agent-engine-dc-a-0'
        agent_relay = relay.Relay(cluster.processes[name].peer_address, SEED)
        await cluster.set_host(name, address=await agent_relay.start())
        await asyncio.sleep(2.0)
        document = caller.chat_request('last bytes', 100)
        client = caller.Caller(cluster.http)
        url = cluster.named('entry-')[0].url
        call = asyncio.create_task(client.chat(url, document))
        await asyncio.sleep(0.3)
        agent_relay.drop_traffic()
        assert await cluster.terminate(name) == 0
        answer = await call
        assert load.is_exact(answer, document), answer.error
        await agent_relay.stop()

    run_deployment(
        scenario,
        deployment.Shape(data_centres=('dc-a',), engines=1, plain=0),
    )
    record_proof('P8', 'SIGTERM of an agent, silent connection', SEED)
