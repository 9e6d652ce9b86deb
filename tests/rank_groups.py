"""Adds a group of ranks, each with an agent, to a deployment."""

from __future__ import annotations

import asyncio
import dataclasses
import signal
from collections.abc import Callable
from typing import Any

from standins import deployment
from wagtailhollow.internal.wire import auth, connection
from wagtailhollow.internal.wire.gen import ttypes

GROUP = 'group-a'
DATA_CENTRE = 'dc-a'
SHAPE = deployment.Shape((DATA_CENTRE,), engines=1, plain=0)


@dataclasses.dataclass
class RankGroup:
    """The agents and engines of one group."""

    cluster: deployment.Deployment
    engines: deployment.Process
    agents: list[deployment.Process]

    async def steps(self) -> dict[str, Any]:
        """Return the step counters and the map state of the group."""
        return await self.cluster.get(f'{self.engines.url}/steps')

    async def wait_until(
        self,
        condition: Callable[[dict[str, Any]], bool],
        timeout_s: float = 20.0,
    ) -> dict[str, Any]:
        """Poll the state of the group until it satisfies a condition."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while loop.time() < deadline_s:
            found = await self.steps()
            if condition(found):
                return found
            await asyncio.sleep(0.01)
        logs = '\n'.join(item.log_text()[-1500:] for item in self.agents)
        raise AssertionError(
            f'condition not met in {timeout_s} s: {found}\n{logs}'
        )

    async def wait_for_next_step(self, timeout_s: float) -> float:
        """Wait until the group steps again and return the seconds waited."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        before = (await self.steps())['step']
        await self.wait_until(lambda found: found['step'] > before, timeout_s)
        return loop.time() - started_s

    async def change_popularity(self, seed: int) -> None:
        """Change which experts are popular."""
        url = f'{self.engines.url}/popularity'
        await self.cluster.post(url, {'seed': seed})

    async def faults(self, **faults: Any) -> None:
        """Set faults of the engines."""
        await self.cluster.post(f'{self.engines.url}/faults', faults)

    async def switch_once(self) -> dict[str, Any]:
        """Make the group switch from its initial map and return its state."""
        await self.change_popularity(1)
        return await self.wait_until(
            lambda found: min(found['epochs']) > 1 and not any(found['held'])
        )

    async def stall_round(self, seed: int, stalled: int) -> None:
        """Start a switch that cannot complete because one rank is stalled."""
        await self.change_popularity(seed)
        before = max((await self.steps())['epochs'])
        await self.wait_until(
            lambda found: all(max(row) > before for row in found['staged'])
        )
        await self.faults(stalled=[stalled])
        await self.wait_until(lambda found: any(found['held']))

    async def leader(self) -> deployment.Process:
        """Return the agent that holds the lease."""
        url = f'{self.cluster.platform.url}/v1/objects/groups/{GROUP}/lease'
        name = (await self.cluster.get(url))['value']['holder']
        return self.cluster.processes[name]

    async def wait_for_other_leader(
        self, old: deployment.Process, timeout_s: float
    ) -> float:
        """Wait for another leader and return the seconds waited."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while (await self.leader()).name == old.name:
            assert loop.time() - started_s < timeout_s, (
                'no other agent took the lease'
            )
            await asyncio.sleep(0.1)
        return loop.time() - started_s

    async def send_to_rank(self, rank: int, message: Any) -> Any:
        """Send a message to a rank's agent, posing as another agent."""
        conn = await connection.connect(
            self.agents[rank].peer_address,
            auth.Identity(
                'stale-leader', ttypes.Role.AGENT, DATA_CENTRE, 'demo', 1
            ),
            auth.KeyRing(str(self.cluster.folder / 'keys.json')),
            connection.Handlers(),
            lambda _: ttypes.Heartbeat(0, [], None, False),
        )
        reader = asyncio.create_task(conn.run())
        try:
            return await conn.request(message, 3.0)
        finally:
            conn.close('done')
            await reader

    def resume_all(self) -> None:
        """Resume all paused agents."""
        for agent in self.agents:
            agent.signal(signal.SIGCONT)


async def start(
    cluster: deployment.Deployment, ranks: int = 4, **options: Any
) -> RankGroup:
    """Start the engines of a group and one agent per rank."""
    arguments = [
        text
        for name, value in {'ranks': ranks, **options}.items()
        for text in (f'--{name.replace("_", "-")}', str(value))
    ]
    engines = cluster.fake('rank_group', 'engines-a', *arguments)
    await cluster.start(engines)
    agents = [
        cluster.agent(
            f'rank-{rank}',
            DATA_CENTRE,
            deployment.MODEL_SERVICE,
            dataclasses.replace(engines, url=f'{engines.url}/rank/{rank}'),
            group=GROUP,
            rank=rank,
            experts={'plan_period_s': 0.3, 'weights_per_s': 200.0},
        )
        for rank in range(ranks)
    ]
    await asyncio.gather(*(cluster.start(agent) for agent in agents))
    for agent in agents:
        await cluster.set_host(agent.name)
    return RankGroup(cluster, engines, agents)
