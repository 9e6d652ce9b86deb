"""A group of ranks with one agent for each, added to a deployment."""

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
    """The agents and the engines of one group."""

    cluster: deployment.Deployment
    engines: deployment.Process
    agents: list[deployment.Process]

    async def steps(self) -> dict[str, Any]:
        """Return what the group has done so far."""
        return await self.cluster.get(f'{self.engines.url}/steps')

    async def wait(
        self,
        is_reached: Callable[[dict[str, Any]], bool],
        timeout_s: float = 20.0,
    ) -> dict[str, Any]:
        """Return the steps document once it satisfies a condition."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while loop.time() < deadline_s:
            found = await self.steps()
            if is_reached(found):
                return found
            await asyncio.sleep(0.01)
        logs = '\n'.join(item.log_text()[-1500:] for item in self.agents)
        raise AssertionError(f'not reached: {found}\n{logs}')

    async def wait_steps_on(self, timeout_s: float) -> float:
        """Return the seconds until the group steps again."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        before = (await self.steps())['step']
        await self.wait(lambda found: found['step'] > before, timeout_s)
        return loop.time() - started_s

    async def drift(self, seed: int) -> None:
        """Change which experts are popular."""
        url = f'{self.engines.url}/popularity'
        await self.cluster.post(url, {'seed': seed})

    async def faults(self, **faults: Any) -> None:
        """Switch faults of the engines on or off."""
        await self.cluster.post(f'{self.engines.url}/faults', faults)

    async def switch_away(self) -> dict[str, Any]:
        """Let the group switch for the first time and return its steps."""
        await self.drift(1)
        return await self.wait(
            lambda found: min(found['epochs']) > 1 and not any(found['held'])
        )

    async def stop_in_round(self, seed: int, stalled: int) -> None:
        """Start a switch that cannot end, as one rank is stalled."""
        await self.drift(seed)
        before = max((await self.steps())['epochs'])
        await self.wait(
            lambda found: all(max(row) > before for row in found['staged'])
        )
        await self.faults(stalled=[stalled])
        await self.wait(lambda found: any(found['held']))

    async def leader(self) -> deployment.Process:
        """Return the agent that holds the lease."""
        url = f'{self.cluster.platform.url}/v1/objects/groups/{GROUP}/lease'
        name = (await self.cluster.get(url))['value']['holder']
        return self.cluster.processes[name]

    async def wait_other_leader(
        self, old: deployment.Process, timeout_s: float
    ) -> float:
        """Return the seconds until another agent holds the lease."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while (await self.leader()).name == old.name:
            assert loop.time() - started_s < timeout_s, 'no other leader'
            await asyncio.sleep(0.1)
        return loop.time() - started_s

    async def order(self, rank: int, message: Any) -> Any:
        """Send a message to a rank's agent as another agent would."""
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
        """Let all paused agents go on."""
        for agent in self.agents:
            agent.signal(signal.SIGCONT)


async def start(
    cluster: deployment.Deployment, ranks: int = 4, **options: Any
) -> RankGroup:
    """Start the engines of a group and an agent beside each rank."""
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
