"""Changes of the host list and start of entries, with processes."""

from __future__ import annotations

import asyncio

from standins import caller, deployment, engine

ONE = deployment.Shape(data_centres=('dc-a',), engines=1, plain=0)


def test_answer_is_complete_after_its_agent_leaves_the_host_list(
    run_deployment,
):
    """Guards against answers truncated by a change of the host list."""

    async def scenario(cluster):
        client = caller.Caller(cluster.http)
        document = caller.chat_request('rope 3', 600)
        url = cluster.named('entry-')[0].url
        answer = asyncio.create_task(client.chat(url, document))
        await asyncio.sleep(0.5)
        await cluster.post(
            f'{cluster.platform.url}/admin/hosts',
            [{'node': 'agent-engine-dc-a-0', 'gone': True}],
        )
        found = await answer
        assert found.is_complete, found.error
        assert found.text == engine.expected_text(document)

    run_deployment(scenario, ONE)


def test_entry_without_platform_and_peers_is_not_ready(run_deployment):
    """Guards against a restarted entry that serves without a table."""

    async def scenario(cluster):
        await cluster.faults('platform', down=True)
        name = cluster.named('entry-')[0].name
        await cluster.kill(name)
        await cluster.restart(name)
        await asyncio.sleep(1)
        url = cluster.processes[name].url
        async with cluster.http.get(f'{url}/readyz') as resp:
            assert (resp.status, await resp.text()) == (503, 'no table yet\n')
        await cluster.faults('platform', down=False)
        await cluster.wait_ready()

    run_deployment(scenario, ONE)
