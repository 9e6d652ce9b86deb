"""A group of ranks in memory, with its agents and their faults.

Ranks run passes together and check at the begin of each that all have the
same map. Orders can stay unanswered and be carried out seconds later; agents
can be frozen, killed and started again; messages can be lost. Runs on the
clock of :func:`standins.memory_platform.run_fast`.
"""

from __future__ import annotations

import asyncio
import collections
import copy
import dataclasses
import random
from collections.abc import Callable, Collection, Sequence

from wagtailhollow.internal.daemon import lifecycle
from wagtailhollow.internal.datagram import messages
from wagtailhollow.internal.experts import observation, placement, planner
from wagtailhollow.internal.experts.live import (
    coordinator,
    model,
    packing,
    rank,
)

PASS_S = 0.05
LATE_S = (2.0, 12.0)
MESSAGE_S = (0.001, 0.01)
DETAIL_S = 0.2
SILENCE_S = 0.06
"""Time after which an agent gives up on an engine that does not answer."""

COPY_S = 0.15
LAYERS = 2
EXPERTS = 16
PLACES = 6
GROUP = 'g0'


@dataclasses.dataclass
class Faults:
    """Shares of orders, messages and reports that go wrong.

    :ivar lost_details: of the messages with experts and demand.
    """

    unanswered: float = 0.0
    lost: float = 0.0
    lost_details: float = 0.0
    silent: float = 0.0


class SimulatedEngine:
    """The engine of one rank; a :class:`model.RankEngine`."""

    def __init__(self, group: Group, number: int) -> None:
        self._group = group
        self.number = number
        self.map_version = 0
        self.experts = [
            [item for item in range(EXPERTS) if item % group.size == number]
            for _ in range(LAYERS)
        ]
        self.prepared: tuple[int, list[list[int]], float] | None = None
        self.highest = 0
        self.armed: model.ArmedMap | None = None
        self.held_step: int | None = None
        self._is_silent = False
        self._waiting: list[Callable[[], bool]] = []

    def silence(self) -> None:
        """Answer nobody from now on, as on a frozen host."""
        self._is_silent = True

    def wake(self) -> None:
        """Answer again, after carrying out the orders that came meanwhile."""
        self._is_silent = False
        waiting, self._waiting = self._waiting, []
        for act in waiting:
            act()

    async def _answer(self) -> None:
        await asyncio.sleep(0.002)
        if self._is_silent:
            await asyncio.sleep(SILENCE_S)
            raise model.EngineUnavailable('no answer')

    async def report(self) -> model.RankReport:
        """See :class:`model.RankEngine`."""
        await self._answer()
        if self._group.rng.random() < self._group.faults.silent:
            await asyncio.sleep(SILENCE_S)
            raise model.EngineUnavailable('no answer')
        return model.RankReport(
            GROUP,
            1,
            self.number,
            self._group.size,
            True,
            self._group.step,
            self.map_version,
            self._ready_version(),
            self.armed,
            self.held_step,
            0,
            0,
            0,
            0,
        )

    async def activation_counts(self) -> model.ActivationCounts:
        """See :class:`model.RankEngine`."""
        return model.ActivationCounts(1, [1] * (LAYERS * EXPERTS))

    async def maps(self) -> model.RankMaps:
        """See :class:`model.RankEngine`."""
        await self._answer()
        prepared = self.prepared[0] if self.prepared else None
        return model.RankMaps(1, self.map_version, self.experts, prepared)

    async def prepare(
        self, epoch: int, version: int, experts: Sequence[model.ExpertsByLayer]
    ) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        mine = [list(row) for row in experts[self.number]]
        return await self._order(lambda: self._prepare(version, mine))

    async def arm(
        self, epoch: int, version: int, step: int
    ) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._order(lambda: self._arm(version, step))

    async def disarm(self, epoch: int, version: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._order(lambda: self._disarm(version))

    async def hold(self, epoch: int, step: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._order(lambda: self._hold(step))

    async def release(self, epoch: int, step: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._order(lambda: self._release(step))

    async def _order(self, act: Callable[[], bool]) -> model.OrderResult:
        rng, faults = self._group.rng, self._group.faults
        await asyncio.sleep(0.002)
        if self._is_silent:
            self._waiting.append(act)
            await asyncio.sleep(SILENCE_S)
            return model.OrderResult.UNKNOWN
        if rng.random() < faults.unanswered:
            delay_s = rng.uniform(*LATE_S)
            asyncio.get_running_loop().call_later(delay_s, act)
            await asyncio.sleep(SILENCE_S)
            return model.OrderResult.UNKNOWN
        done = act()
        return model.OrderResult.DONE if done else model.OrderResult.CONFLICT

    def _ready_version(self) -> int | None:
        now_s = asyncio.get_running_loop().time()
        if self.prepared is None or now_s < self.prepared[2]:
            return None
        return self.prepared[0]

    def _prepare(self, version: int, experts: list[list[int]]) -> bool:
        if version <= self.highest or self.armed is not None:
            return False
        self.highest = version
        new = sum(
            len(set(after) - set(before))
            for before, after in zip(self.experts, experts, strict=True)
        )
        ready_s = asyncio.get_running_loop().time() + new * COPY_S
        self.prepared = (version, experts, ready_s)
        return True

    def _arm(self, version: int, step: int) -> bool:
        if self._ready_version() != version or step <= self._group.step:
            return False
        self.armed = model.ArmedMap(version, step)
        return True

    def _disarm(self, version: int) -> bool:
        if self.map_version == version:
            return False
        if self.armed is not None and self.armed.version == version:
            self.armed = None
        return True

    def _hold(self, step: int) -> bool:
        if step <= self._group.step or self.held_step not in (None, step):
            return False
        self.held_step = step
        return True

    def _release(self, step: int) -> bool:
        if self.held_step == step:
            self.held_step = None
        return True

    def begin(self, step: int) -> None:
        """Take over the armed map if its step begins."""
        if self.armed is not None and self.armed.step <= step:
            version, experts, _ = self.prepared
            self.map_version, self.experts = version, experts
            self.armed = None


class Shuffle:
    """Planner that always finds a change: swaps two experts."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> planner.Plan:
        """See :meth:`planner.Planner.plan`."""
        ranks = placement.experts_by_rank(current)
        layer = self._rng.randrange(len(current.layers))
        one, two = self._rng.sample(range(len(ranks)), 2)
        first, second = ranks[one][layer], ranks[two][layer]
        first[0], second[0] = second[0], first[0]
        new = placement.from_experts(ranks, PLACES)
        return planner.Plan(new, 2)


class Agent:
    """One agent: its driver, its view and its coordinator."""

    def __init__(self, group: Group, number: int) -> None:
        self._group = group
        self.number = number
        self.is_frozen = False
        self._detailed: tuple[int, int, int] | None = None
        self._detailed_until_s = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start with an empty memory."""
        loop = asyncio.get_running_loop()
        self._detailed = None
        self.driver = rank.RankController(
            _Gate(self, self._group.engines[self.number])
        )
        self.view = coordinator.GroupView(loop.time)
        self.coordinator = coordinator.Coordinator(
            self.driver,
            self.view,
            self,
            lambda address: _Gate(self, self._group.engines[int(address)]),
            Shuffle(self._group.rng),
            lambda: (LAYERS, PLACES),
        )
        self._tasks = [
            lifecycle.background(self._watch()),
            lifecycle.background(self.coordinator.run()),
        ]

    def kill(self) -> None:
        """End at once."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    def publish(
        self, intent: messages.Intent, addresses: Collection[str]
    ) -> None:
        """See :class:`coordinator.IntentPublisher`."""
        self.driver.accept(intent)
        self.view.record_intent(intent)
        for agent in self._group.agents:
            if agent is not self and (
                not addresses or str(agent.number) in addresses
            ):
                self._group.deliver(self, agent, intent)

    def receive(self, message: messages.Intent | messages.RankStatus) -> None:
        """Take a message, unless the agent is down."""
        if not self._tasks:
            return
        if self.is_frozen:
            asyncio.get_running_loop().call_later(0.05, self.receive, message)
        elif isinstance(message, messages.Intent):
            self.driver.accept(message)
            self.view.record_intent(message)
        else:
            self.view.record_status(message)

    async def thaw(self) -> None:
        """Wait while the agent is frozen."""
        while self.is_frozen:
            await asyncio.sleep(0.01)

    async def _watch(self) -> None:
        while True:
            try:
                await self.driver.reconcile()
                self._send()
            except model.EngineUnavailable:
                self.driver.report = None
            await asyncio.sleep(0.02)

    def _send(self) -> None:
        """Send the status; experts and demand go to the coordinator only."""
        now_s = asyncio.get_running_loop().time()
        full = self.driver.status()
        full.address = str(self.number)
        brief = copy.copy(full)
        brief.experts = b''
        full.demand = packing.pack_counts([1] * (LAYERS * EXPERTS))
        leader = self.view.coordinator_rank(full)
        key = (full.epoch, full.map_version, leader)
        is_due = key != self._detailed or now_s >= self._detailed_until_s
        if is_due:
            self._detailed = key
            self._detailed_until_s = now_s + DETAIL_S
            is_due = (
                self._group.rng.random() >= self._group.faults.lost_details
            )
        self.view.record_status(full)
        for agent in self._group.agents:
            if agent is not self:
                is_full = is_due and agent.number == leader
                self._group.deliver(self, agent, full if is_full else brief)


class _Gate:
    """An engine as one agent reaches it; waits while that one is frozen."""

    def __init__(self, agent: Agent, engine: SimulatedEngine) -> None:
        self._agent = agent
        self._engine = engine

    def __getattr__(self, name: str):
        async def call(*args):
            # A frozen process may stop before the order leaves and after
            # its answer came.
            await self._agent.thaw()
            result = await getattr(self._engine, name)(*args)
            await self._agent.thaw()
            return result

        return call


class Group:
    """Ranks, agents, messages and passes.

    :ivar mixed: passes that began with more than one map.
    :ivar versions: versions that were in effect, in order.
    :ivar longest_stop_s: longest time without a pass.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.step = 0
        self.engines = [SimulatedEngine(self, n) for n in range(size)]
        self.agents = [Agent(self, n) for n in range(size)]
        self.mixed: list[int] = []
        self.versions: list[int] = [0]
        self.longest_stop_s = 0.0
        self.sent = collections.Counter()

    def deliver(self, sender: Agent, to: Agent, message) -> None:
        """Send a message that may be lost."""
        self.sent[type(message).__name__] += 1
        if self.rng.random() < self.faults.lost or sender.is_frozen:
            return
        asyncio.get_running_loop().call_later(
            self.rng.uniform(*MESSAGE_S), to.receive, message
        )

    async def run_passes(self) -> None:
        """Run passes for ever."""
        loop = asyncio.get_running_loop()
        last_s = loop.time()
        while True:
            await asyncio.sleep(PASS_S)
            following = self.step + 1
            if any(item.held_step == following for item in self.engines):
                stop_s = loop.time() - last_s
                self.longest_stop_s = max(self.longest_stop_s, stop_s)
                continue
            last_s = loop.time()
            self.step = following
            for engine in self.engines:
                engine.begin(following)
            self._check()

    def _check(self) -> None:
        versions = {engine.map_version for engine in self.engines}
        held = [
            {
                expert
                for engine in self.engines
                for expert in engine.experts[layer]
            }
            for layer in range(LAYERS)
        ]
        if len(versions) > 1 or any(len(row) < EXPERTS for row in held):
            self.mixed.append(self.step)
        elif (version := versions.pop()) != self.versions[-1]:
            self.versions.append(version)
