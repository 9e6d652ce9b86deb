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
import dataclasses
import enum
import random
from collections.abc import Callable, Collection, Sequence
from typing import Any

from wagtailhollow.internal.daemon import lifecycle
from wagtailhollow.internal.datagram import endpoint, messages
from wagtailhollow.internal.experts import observation, placement, planner
from wagtailhollow.internal.experts.live import (
    coordinator,
    demand,
    group_view,
    messenger,
    model,
    rank,
)

PASS_S = 0.05
LATE_ORDER_DELAY_S = (2.0, 12.0)
MESSAGE_DELAY_S = (0.001, 0.01)
HEADER_BYTES = 28
"""IP and UDP headers of a datagram."""

ENGINE_TIMEOUT_S = 0.06
"""Time-out of an agent's requests to an engine."""

GROUP = 'g0'
PORT = 1


@dataclasses.dataclass(frozen=True)
class Shape:
    """Size of a group's model and of the links between its hosts.

    :ivar slots: experts that a rank holds per layer.
    :ivar copy_s: time to copy the weights of one expert.
    :ivar moves: experts per rank that a plan replaces, about.
    :ivar link_bytes_per_s: bandwidth of each host's link in each direction.
    :ivar queue_s: longest time that a datagram waits at a link; beyond it, it
        is lost.
    """

    layers: int = 2
    experts: int = 16
    slots: int = 6
    copy_s: float = 0.15
    moves: int = 0
    link_bytes_per_s: float = 1_250_000.0
    queue_s: float = 0.1

    @property
    def counts(self) -> int:
        """Return the number of experts of all layers."""
        return self.layers * self.experts


class _Direction(enum.Enum):
    OUT = 'out'
    IN = 'in'


_CODEC = endpoint.Endpoint(messages.MESSAGE_TYPES)


def ip_of(number: int) -> str:
    """Return the IP address of the host of a rank."""
    return f'10.0.{number // 250}.{number % 250 + 1}'


def number_of(address: str) -> int:
    """Return the rank of the host at an address, with or without a port."""
    _, _, high, low = address.partition(':')[0].split('.')
    return int(high) * 250 + int(low) - 1


def _without_experts(data: bytes) -> bytes:
    message = _CODEC.decode(data)
    if isinstance(message, messages.RankStatus):
        message.experts = b''
    return _CODEC.encode(message)


@dataclasses.dataclass
class Faults:
    """Probabilities of faults.

    :ivar unanswered: an order is not answered and is executed late.
    :ivar lost: a message is lost.
    :ivar lost_details: a status loses the experts on its way.
    :ivar silent: an engine does not answer a request for its report.
    """

    unanswered: float = 0.0
    lost: float = 0.0
    lost_details: float = 0.0
    silent: float = 0.0


class SimulatedEngine:
    """Engine of one rank; a :class:`model.RankEngine`.

    :ivar is_silent: whether requests for its report get no answer.
    """

    def __init__(self, group: Group, number: int) -> None:
        self._group = group
        self.number = number
        self.map_version = 0
        self.experts = [
            group.initial_row(number) for _ in range(group.shape.layers)
        ]
        self.prepared: tuple[int, list[list[int]], float] | None = None
        self.highest_version = 0
        self.armed: model.ArmedMap | None = None
        self.held_step: int | None = None
        self.is_silent = False
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
        if (
            self.is_silent
            or self._group.rng.random() < self._group.faults.silent
        ):
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
        now_s = asyncio.get_running_loop().time()
        return model.ActivationCounts(
            1, [round(1000 * now_s)] * self._group.shape.counts
        )

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
        return await self._order(
            'prepare', lambda: self._prepare(version, own_experts)
        )

    async def arm(
        self, epoch: int, version: int, step: int
    ) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._order('arm', lambda: self._arm(version, step))

    async def disarm(self, epoch: int, version: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._order('disarm', lambda: self._disarm(version))

    async def hold(self, epoch: int, step: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._order('hold', lambda: self._hold(step))

    async def release(self, epoch: int, step: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._order('release', lambda: self._release(step))

    async def _order(
        self, name: str, execute: Callable[[], bool]
    ) -> model.OrderResult:
        await asyncio.sleep(0.002)
        if self._is_unresponsive:
            self._pending_orders.append(execute)
            await asyncio.sleep(ENGINE_TIMEOUT_S)
            return model.OrderResult.UNKNOWN
        delay_s = self._group.order_delay_s(self.number, name)
        if delay_s is not None:
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
            asyncio.get_running_loop().time()
            + new_experts * self._group.shape.copy_s
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
    """Planner that swaps experts between random ranks in each plan."""

    def __init__(self, shape: Shape, rng: random.Random) -> None:
        self._shape = shape
        self._rng = rng

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> planner.Plan:
        """See :meth:`planner.Planner.plan`."""
        ranks = placement.experts_by_rank(current)
        swaps = max(1, len(ranks) * self._shape.moves // 2)
        for _ in range(swaps):
            layer = self._rng.randrange(len(current.layers))
            one, two = self._rng.sample(range(len(ranks)), 2)
            first, second = ranks[one][layer], ranks[two][layer]
            if first[0] not in second and second[0] not in first:
                first[0], second[0] = second[0], first[0]
        new = placement.from_experts(ranks, self._shape.slots)
        return planner.Plan(new, 2 * swaps)


class Agent:
    """One agent: rank controller, group view, messenger and coordinator.

    :ivar is_frozen: whether the process is suspended.
    """

    def __init__(self, group: Group, number: int) -> None:
        self._group = group
        self.number = number
        self.ip = ip_of(number)
        self.is_frozen = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the process, without any state from an earlier run."""
        group = self._group
        loop = asyncio.get_running_loop()
        self.controller = rank.RankController(
            _PausableEngine(self, group.engines[self.number])
        )
        self.view = group_view.GroupView(loop.time)
        self._demand = demand.RecentDemand()
        self.messenger = messenger.GroupMessenger(
            self.controller,
            self.view,
            self._demand,
            lambda message, ips: group.transmit(self, message, ips),
            lambda: group.data_centres,
            f'{self.ip}:{PORT}',
            group.shape.link_bytes_per_s,
            loop.time,
        )
        self.coordinator = coordinator.Coordinator(
            self.controller,
            self.view,
            self.messenger,
            lambda address: _PausableEngine(
                self, group.engines[number_of(address)]
            ),
            SwapPlanner(group.shape, group.rng),
            lambda: coordinator.Limits(
                group.shape.layers, group.shape.slots, 0.0
            ),
            self.messenger.demand_counts,
            group.rng,
            max_inline_plan_ranks=0 if group.plan_s else group.size,
            run_in_thread=group.run_in_thread,
        )
        self._tasks = [
            lifecycle.create_background_task(self._run_controller()),
            lifecycle.create_background_task(self.messenger.run()),
            lifecycle.create_background_task(self.coordinator.run()),
        ]

    def kill(self) -> None:
        """Kill the process."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    def receive(self, data: bytes, ip: str) -> None:
        """Handle a datagram; drop it if the agent is not running."""
        if not self._tasks:
            return
        if self.is_frozen:
            asyncio.get_running_loop().call_later(0.05, self.receive, data, ip)
            return
        message = _CODEC.decode(data)
        handler = {
            messages.RankStatus: self.messenger.on_status,
            messages.Intent: self.messenger.on_intent,
            messages.ExpertDemand: self.messenger.on_demand,
            messages.Roster: self.messenger.on_roster,
        }[type(message)]
        handler(message, ip)

    async def wait_while_frozen(self) -> None:
        """Wait while the agent is frozen."""
        while self.is_frozen:
            await asyncio.sleep(0.01)

    async def _run_controller(self) -> None:
        engine = self._group.engines[self.number]
        while True:
            try:
                await self.controller.reconcile()
                now_s = asyncio.get_running_loop().time()
                self._demand.add(now_s, 0, await engine.activation_counts())
                self.messenger.send_status()
                self.messenger.send_demand()
            except model.EngineUnavailable:
                self.controller.report = None
            await self.messenger.wait_for_poll()


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
    """Simulated group: ranks, agents, links, messages and passes.

    :ivar data_centres: data centre of each agent, by IP address.
    :ivar mixed_steps: steps at which ranks had different maps, or an expert
        was missing.
    :ivar versions: versions that have been in effect, in order.
    :ivar longest_pause_s: longest time without a pass, due to a held step.
    :ivar sent: number of messages sent, by type.
    :ivar dropped: number of messages lost at a full link, by type.
    :ivar terms: terms of coordinators, in order.
    :ivar plan_s: time that planning takes in another thread; with 0 it is
        done on the event loop.
    :ivar pass_s: duration of a pass.
    :ivar is_idle: whether there are no requests, so that no pass begins.
    :ivar order_delay_s: called with a rank and the name of an order; returns
        the time after which the order is executed without an answer, None for
        an order that is answered. By default :attr:`faults` decide.
    """

    def __init__(
        self, size: int, seed: int, shape: Shape | None = None
    ) -> None:
        self.size = size
        self.shape = shape or Shape()
        self.data_centres = {ip_of(n): f'dc-{n % 3}' for n in range(size)}
        self._links = {
            (ip, direction): 0.0
            for ip in self.data_centres
            for direction in _Direction
        }
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.step = 0
        self.engines = [SimulatedEngine(self, n) for n in range(size)]
        self.agents = [Agent(self, n) for n in range(size)]
        self.mixed_steps: list[int] = []
        self.versions: list[int] = [0]
        self.longest_pause_s = 0.0
        self.sent = collections.Counter()
        self.dropped = collections.Counter()
        self.terms: list[int] = []
        self.plan_s = 0.0
        self.pass_s = PASS_S
        self.is_idle = False
        self.order_delay_s: Callable[[int, str], float | None] = (
            self.random_order_delay_s
        )

    def random_order_delay_s(self, number: int, name: str) -> float | None:
        """Return the delay of an order that gets no answer, else None."""
        if self.rng.random() < self.faults.unanswered:
            return self.rng.uniform(*LATE_ORDER_DELAY_S)
        return None

    async def run_in_thread(
        self, function: Callable[..., Any], *args: Any
    ) -> Any:
        """Call a function after the simulated time that planning takes."""
        await asyncio.sleep(self.plan_s)
        return function(*args)

    def initial_row(self, number: int) -> list[int]:
        """Return the experts of a rank in a layer of the first map.

        Experts are assigned in turn; places that are left over stay empty.
        """
        return [
            item
            for item in range(self.shape.experts)
            if item % self.size == number
        ]

    def transmit(
        self, sender: Agent, message: object, ips: Collection[str]
    ) -> None:
        """Send a message, which may arrive late or be lost."""
        if isinstance(message, messages.Intent) and (
            message.term > max(self.terms, default=0)
        ):
            self.terms.append(message.term)
        data = _CODEC.encode(message)
        for ip in sorted(ips):
            self.sent[type(message).__name__] += 1
            if self.rng.random() < self.faults.lost or sender.is_frozen:
                continue
            self._deliver(sender, ip, data, type(message).__name__)

    def _deliver(self, sender: Agent, ip: str, data: bytes, kind: str) -> None:
        loop = asyncio.get_running_loop()
        arrival_s = loop.time() + self.rng.uniform(*MESSAGE_DELAY_S)
        transfer_s = (len(data) + HEADER_BYTES) / self.shape.link_bytes_per_s
        for link in ((sender.ip, _Direction.OUT), (ip, _Direction.IN)):
            free_s = max(self._links[link], loop.time())
            if free_s - loop.time() > self.shape.queue_s:
                self.dropped[kind] += 1
                return
            self._links[link] = free_s + transfer_s
            arrival_s += free_s + transfer_s - loop.time()
        if self.rng.random() < self.faults.lost_details:
            data = _without_experts(data)
        agent = self.agents[number_of(ip)]
        loop.call_at(arrival_s, agent.receive, data, sender.ip)

    async def run_passes(self) -> None:
        """Run passes for ever; a pass waits while its step is held."""
        loop = asyncio.get_running_loop()
        last_s = loop.time()
        while True:
            await asyncio.sleep(self.pass_s)
            if self.is_idle:
                last_s = loop.time()
                continue
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
            for layer in range(self.shape.layers)
        ]
        if len(versions) > 1 or any(
            len(row) < self.shape.experts for row in present
        ):
            self.mixed_steps.append(self.step)
        elif (version := versions.pop()) != self.versions[-1]:
            self.versions.append(version)
