"""In-memory simulation of a group of ranks, with its agents and faults.

All ranks run passes in lock-step; a pass computes one step. At the beginning
of each pass the group records whether the maps of the ranks agree. Orders can
stay unanswered and be executed seconds later, agents can be frozen, killed and
restarted, and messages can be lost. Runs on the simulated clock of
:func:`standins.memory_platform.run_in_virtual_time`.
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
LATE_ORDER_DELAY_S = (2.0, 12.0)
MESSAGE_DELAY_S = (0.001, 0.01)
DETAIL_PERIOD_S = 0.2
ENGINE_TIMEOUT_S = 0.06
"""Time-out of an agent's requests to an engine."""

COPY_WEIGHT_S = 0.15
LAYERS = 2
EXPERTS = 16
SLOTS = 6
GROUP = 'g0'


@dataclasses.dataclass
class Faults:
    """Probabilities of faults.

    :ivar unanswered: an order is not answered and is executed late.
    :ivar lost: a message is lost.
    :ivar lost_details: a status leaves out the experts and the demand when
        they are due.
    :ivar silent: an engine does not answer a request for its report.
    """

    unanswered: float = 0.0
    lost: float = 0.0
    lost_details: float = 0.0
    silent: float = 0.0


class SimulatedEngine:
    """Engine of one rank; a :class:`model.RankEngine`."""

    def __init__(self, group: Group, number: int) -> None:
        self._group = group
        self.number = number
        self.map_version = 0
        self.experts = [
            [item for item in range(EXPERTS) if item % group.size == number]
            for _ in range(LAYERS)
        ]
        self.prepared: tuple[int, list[list[int]], float] | None = None
        self.highest_version = 0
        self.armed: model.ArmedMap | None = None
        self.held_step: int | None = None
        self._is_unresponsive = False
        self._pending_orders: list[Callable[[], bool]] = []

    def freeze(self) -> None:
        """Stop answering, as an engine on a frozen host does."""
        self._is_unresponsive = True

    def resume(self) -> None:
        """Execute the orders received while frozen, then answer again."""
        self._is_unresponsive = False
        waiting, self._pending_orders = self._pending_orders, []
        for execute in waiting:
            execute()

    async def _answer(self) -> None:
        await asyncio.sleep(0.002)
        if self._is_unresponsive:
            await asyncio.sleep(ENGINE_TIMEOUT_S)
            raise model.EngineUnavailable('no answer')

    async def report(self) -> model.RankReport:
        """See :class:`model.RankEngine`."""
        await self._answer()
        if self._group.rng.random() < self._group.faults.silent:
            await asyncio.sleep(ENGINE_TIMEOUT_S)
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
        own_experts = [list(row) for row in experts[self.number]]
        return await self._order(lambda: self._prepare(version, own_experts))

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

    async def _order(self, execute: Callable[[], bool]) -> model.OrderResult:
        rng, faults = self._group.rng, self._group.faults
        await asyncio.sleep(0.002)
        if self._is_unresponsive:
            self._pending_orders.append(execute)
            await asyncio.sleep(ENGINE_TIMEOUT_S)
            return model.OrderResult.UNKNOWN
        if rng.random() < faults.unanswered:
            delay_s = rng.uniform(*LATE_ORDER_DELAY_S)
            asyncio.get_running_loop().call_later(delay_s, execute)
            await asyncio.sleep(ENGINE_TIMEOUT_S)
            return model.OrderResult.UNKNOWN
        done = execute()
        return model.OrderResult.DONE if done else model.OrderResult.CONFLICT

    def _ready_version(self) -> int | None:
        now_s = asyncio.get_running_loop().time()
        if self.prepared is None or now_s < self.prepared[2]:
            return None
        return self.prepared[0]

    def _prepare(self, version: int, experts: list[list[int]]) -> bool:
        if version <= self.highest_version or self.armed is not None:
            return False
        self.highest_version = version
        new_experts = sum(
            len(set(after) - set(before))
            for before, after in zip(self.experts, experts, strict=True)
        )
        ready_s = (
            asyncio.get_running_loop().time() + new_experts * COPY_WEIGHT_S
        )
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
        """Switch to the armed map if its step has come."""
        if self.armed is not None and self.armed.step <= step:
            version, experts, _ = self.prepared
            self.map_version, self.experts = version, experts
            self.armed = None


class SwapPlanner:
    """Planner that swaps two experts in each plan."""

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
        new = placement.from_experts(ranks, SLOTS)
        return planner.Plan(new, 2)


class Agent:
    """One agent: its rank controller, group view and coordinator.

    :ivar is_frozen: whether the process is suspended.
    """

    def __init__(self, group: Group, number: int) -> None:
        self._group = group
        self.number = number
        self.is_frozen = False
        self._detail_key: tuple[int, int, int] | None = None
        self._next_detail_s = 0.0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the process, without any state from an earlier run."""
        loop = asyncio.get_running_loop()
        self._detail_key = None
        self.controller = rank.RankController(
            _PausableEngine(self, self._group.engines[self.number])
        )
        self.view = coordinator.GroupView(loop.time)
        self.coordinator = coordinator.Coordinator(
            self.controller,
            self.view,
            self,
            lambda address: _PausableEngine(
                self, self._group.engines[int(address)]
            ),
            SwapPlanner(self._group.rng),
            lambda: (LAYERS, SLOTS),
        )
        self._tasks = [
            lifecycle.create_background_task(self._run_controller()),
            lifecycle.create_background_task(self.coordinator.run()),
        ]

    def kill(self) -> None:
        """Kill the process."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    def publish(
        self, intent: messages.Intent, addresses: Collection[str]
    ) -> None:
        """See :class:`coordinator.IntentPublisher`."""
        self.controller.accept(intent)
        self.view.record_intent(intent)
        for agent in self._group.agents:
            if agent is not self and (
                not addresses or str(agent.number) in addresses
            ):
                self._group.deliver(self, agent, intent)

    def receive(self, message: messages.Intent | messages.RankStatus) -> None:
        """Handle a message; drop it if the agent is not running."""
        if not self._tasks:
            return
        if self.is_frozen:
            asyncio.get_running_loop().call_later(0.05, self.receive, message)
        elif isinstance(message, messages.Intent):
            self.controller.accept(message)
            self.view.record_intent(message)
        else:
            self.view.record_status(message)

    async def wait_while_frozen(self) -> None:
        """Wait while the agent is frozen."""
        while self.is_frozen:
            await asyncio.sleep(0.01)

    async def _run_controller(self) -> None:
        while True:
            try:
                await self.controller.reconcile()
                self._send()
            except model.EngineUnavailable:
                self.controller.report = None
            await asyncio.sleep(0.02)

    def _send(self) -> None:
        """Send the status; only the coordinator gets experts and demand."""
        now_s = asyncio.get_running_loop().time()
        full = self.controller.status()
        full.address = str(self.number)
        brief = copy.copy(full)
        brief.experts = b''
        full.demand = packing.pack_counts([1] * (LAYERS * EXPERTS))
        coordinator_rank = self.view.coordinator_rank(full)
        key = (full.epoch, full.map_version, coordinator_rank)
        is_due = key != self._detail_key or now_s >= self._next_detail_s
        if is_due:
            self._detail_key = key
            self._next_detail_s = now_s + DETAIL_PERIOD_S
            is_due = (
                self._group.rng.random() >= self._group.faults.lost_details
            )
        self.view.record_status(full)
        for agent in self._group.agents:
            if agent is not self:
                is_full = is_due and agent.number == coordinator_rank
                self._group.deliver(self, agent, full if is_full else brief)


class _PausableEngine:
    """Client of an engine whose calls block while its agent is frozen."""

    def __init__(self, agent: Agent, engine: SimulatedEngine) -> None:
        self._agent = agent
        self._engine = engine

    def __getattr__(self, name: str):
        async def call(*args):
            # A process may freeze before it sends the order as well as after
            # the answer has arrived.
            await self._agent.wait_while_frozen()
            result = await getattr(self._engine, name)(*args)
            await self._agent.wait_while_frozen()
            return result

        return call


class Group:
    """Simulated group: ranks, agents, messages and passes.

    :ivar mixed_steps: steps at which ranks had different maps, or an expert
        was missing.
    :ivar versions: versions that have been in effect, in order.
    :ivar longest_pause_s: longest time without a pass, due to a held step.
    :ivar sent: number of messages sent, by type.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.size = size
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.step = 0
        self.engines = [SimulatedEngine(self, n) for n in range(size)]
        self.agents = [Agent(self, n) for n in range(size)]
        self.mixed_steps: list[int] = []
        self.versions: list[int] = [0]
        self.longest_pause_s = 0.0
        self.sent = collections.Counter()

    def deliver(self, sender: Agent, to: Agent, message) -> None:
        """Send a message, which arrives late or is lost."""
        self.sent[type(message).__name__] += 1
        if self.rng.random() < self.faults.lost or sender.is_frozen:
            return
        asyncio.get_running_loop().call_later(
            self.rng.uniform(*MESSAGE_DELAY_S), to.receive, message
        )

    async def run_passes(self) -> None:
        """Run passes for ever; a pass waits while its step is held."""
        loop = asyncio.get_running_loop()
        last_s = loop.time()
        while True:
            await asyncio.sleep(PASS_S)
            next_step = self.step + 1
            if any(item.held_step == next_step for item in self.engines):
                pause_s = loop.time() - last_s
                self.longest_pause_s = max(self.longest_pause_s, pause_s)
                continue
            last_s = loop.time()
            self.step = next_step
            for engine in self.engines:
                engine.begin(next_step)
            self._record_maps()

    def _record_maps(self) -> None:
        versions = {engine.map_version for engine in self.engines}
        present = [
            {
                expert
                for engine in self.engines
                for expert in engine.experts[layer]
            }
            for layer in range(LAYERS)
        ]
        if len(versions) > 1 or any(len(row) < EXPERTS for row in present):
            self.mixed_steps.append(self.step)
        elif (version := versions.pop()) != self.versions[-1]:
            self.versions.append(version)
