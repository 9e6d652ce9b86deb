"""Plans the expert map of one group and switches all its ranks atomically.

The lowest rank whose agent is alive becomes the coordinator and stays it until
its agent is lost. A lower rank that returns does not take over, because a
change of coordinator during a switch prolongs the time for which the group is
held.

A new coordinator first makes every rank promise to obey no lower term, then
ends any switch that its predecessor left unfinished, and only then plans. To
end a switch it

1. holds the step at the coordinator's own rank, because a release sent by the
   predecessor may still be in flight to the rank that holds it;
2. disarms all ranks and has them prepare a new version, after which engines
   refuse a delayed order to arm the old one;
3. releases every hold.

It does not complete such a switch even if all ranks are armed, because an
order to disarm may still be in flight. ``proof/live_switch.py`` checks the
protocol against delayed orders and a coordinator that resumes after a pause.

If no status arrives from a rank's agent, the coordinator sends its orders
directly to the engine of that rank.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from ...datagram import messages
from ...observability import decisions
from .. import observation, placement, planner
from . import demand, model, packing, pass_time, rank

AGENT_TIMEOUT_S = 0.7
"""Time without a status after which an agent counts as lost: seven status
periods."""

COORDINATOR_TIMEOUT_S = 0.3
"""Time without an intent after which the coordinator counts as lost during a
switch: six intent periods. Shorter than :data:`AGENT_TIMEOUT_S` because the
group may be held."""

POLL_PERIOD_S = 0.1
RESEND_PERIOD_S = 0.05
"""Period of intents and direct orders until all ranks have complied."""

PREPARE_RESEND_PERIOD_S = 0.25
"""The same while ranks prepare a map. Longer because the intent carries the
whole map, and a status confirms its arrival within 0.1 s."""

MIN_LOOKAHEAD_STEPS = 3
"""The held step is at least this far ahead of the last step that the own rank
reports to have begun: with 3, two steps lie between them. All ranks have to be
armed before the held step begins. That takes a message each way and an order:
20 ms, or 60 ms if the order is repeated, which is about one step. The other
two allow for steps that are already under way."""

MAX_LOOKAHEAD_STEPS = 16
"""Upper bound of this distance when orders have to be repeated often: 0.8 s at
the default pass time. The held step is set this far ahead because a group that
waits at it for the orders delays all its streams."""

ARMING_TIME_FACTOR = 1.25
"""Time allowed for arming all ranks, as a multiple of the slowest of the last
switches."""

ARMING_TIME_DECAY = 0.7
"""Factor by which the recorded arming time decays with each switch."""

DEFAULT_PASS_S = 0.05

REBALANCE_PASS_S = 0.055
"""Mean pass time from which rebalancing is considered whatever the skew. A
shift in demand doubles the pass time. A pass time below this one, doubled, is
still below the 0.12 s that callers allow between two events of a stream."""

REBALANCE_SKEW = 2.0
"""Skew from which rebalancing is considered even if passes are short. The skew
is 2.5 to 3 right after a shift in demand, and load can rise at any time."""

PREPARE_TIMEOUT_S = 2.5
"""Allows for copying the weights of four experts at 0.15 s each and for
repeated orders."""

HOLD_TIMEOUT_S = 0.3
ARM_TIMEOUT_S = 1.0
"""Less than the 1.5 s after which a stalled engine abandons its work."""

RESOLVE_TIMEOUT_S = 1.0
MAX_INLINE_PLAN_RANKS = 8
"""Largest group planned on the event loop; a plan for it takes less than
0.05 s."""

TERM_STRIDE = 256
"""A term is a multiple of this plus the coordinator's rank, so that terms of
different ranks differ. A group has at most 256 ranks."""

_SWITCH_PHASES = frozenset(
    {
        model.Phase.HOLD,
        model.Phase.ARM,
        model.Phase.ABORT,
        model.Phase.RELEASE,
    }
)

Status = messages.RankStatus


class CoordinationLost(Exception):
    """This agent may no longer coordinate its group."""


class IntentPublisher(Protocol):
    """Sends intents to the agents of a group."""

    def publish(
        self, intent: messages.Intent, addresses: Collection[str]
    ) -> None:
        """Send an intent to the agents of some engines.

        :param addresses: addresses of the engines; empty for the whole group.
        """


class GroupView:
    """Last known status of each rank in this agent's group.

    :ivar changed: set whenever a status arrives.
    :ivar addresses: engine address of every rank that has been heard, by rank.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._last_statuses: dict[int, tuple[float, Status]] = {}
        self._intent_s = 0.0
        self._intent: messages.Intent | None = None
        self._term = 0
        self._term_s = 0.0
        self.changed = asyncio.Event()
        self.addresses: dict[int, str] = {}

    def record_status(self, status: Status) -> None:
        """Store a status that has just arrived.

        Most messages omit the experts and the demand; the last known values
        stay valid as long as the rank keeps its map.
        """
        _, last = self._last_statuses.get(status.rank, (0.0, None))
        if last is not None and _have_same_map(last, status):
            status.experts = status.experts or last.experts
            status.demand = status.demand or last.demand
        self._last_statuses[status.rank] = (self._clock(), status)
        self._record_term(status.term)
        if status.address:
            self.addresses[status.rank] = status.address
        self.changed.set()

    def record_intent(self, intent: messages.Intent) -> None:
        """Record an intent as a sign of life of its coordinator."""
        if self._intent is not None and intent.term < self._intent.term:
            return
        self._record_term(intent.term)
        now_s = self._clock()
        if self._intent is not None and intent.term > self._intent.term:
            # The last status of the lost predecessor may not have expired yet;
            # without it, the predecessor does not count as alive.
            self._last_statuses.pop(self._lost_coordinator(now_s), None)
        self._intent = intent
        self._intent_s = now_s

    def recent_statuses(self, own: Status) -> dict[int, Status]:
        """Return the statuses of the ranks that are alive, by rank.

        During a switch, a coordinator that sends no intents is dropped after
        the shorter :data:`COORDINATOR_TIMEOUT_S`.
        """
        now_s = self._clock()
        lost = self._lost_coordinator(now_s)
        recent = {
            number: status
            for number, (received_s, status) in self._last_statuses.items()
            if now_s - received_s <= AGENT_TIMEOUT_S
            and status.group == own.group
            and number != lost
        }
        return recent | {own.rank: own}

    def _lost_coordinator(self, now_s: float) -> int | None:
        intent = self._intent
        if (
            intent is None
            or intent.phase not in _SWITCH_PHASES
            or now_s - self._intent_s <= COORDINATOR_TIMEOUT_S
        ):
            return None
        return intent.term % TERM_STRIDE

    def coordinator_rank(self, own: Status) -> int:
        """Return the current coordinator or the rank that has to take over.

        An agent that resumes after a pause may hear from other ranks before it
        hears from the coordinator elected meanwhile. It therefore waits for
        the coordinator of a term that it has only just learnt of.
        """
        heard = self.recent_statuses(own)
        highest = max(status.term for status in heard.values())
        coordinator = highest % TERM_STRIDE
        is_term_recent = (
            highest == self._term
            and self._clock() - self._term_s <= AGENT_TIMEOUT_S
            and coordinator != self._lost_coordinator(self._clock())
        )
        if highest and (coordinator in heard or is_term_recent):
            return coordinator
        return min(heard)

    def _record_term(self, term: int) -> None:
        if term > self._term:
            self._term, self._term_s = term, self._clock()

    def ips(self) -> set[str]:
        """Return the IP addresses of all ranks that were ever heard."""
        return {item.rpartition(':')[0] for item in self.addresses.values()}

    def coordinator_ip(self, own: Status) -> str:
        """Return the IP address of the coordinator, empty if not known."""
        address = self.addresses.get(self.coordinator_rank(own), '')
        return address.rpartition(':')[0]

    def highest_term(self) -> int:
        """Return the highest term that any rank has promised to obey."""
        return max(
            (status.term for _, status in self._last_statuses.values()),
            default=0,
        )


class Coordinator:
    """Coordinates the group of one rank while that rank is coordinator.

    :ivar skew: mean skew of the layers when the map was last assessed.
    """

    def __init__(
        self,
        controller: rank.RankController,
        view: GroupView,
        publisher: IntentPublisher,
        engine_at: Callable[[str], model.RankEngine],
        map_planner: planner.Planner,
        layout: Callable[[], tuple[int, int] | None],
    ) -> None:
        """Create a coordinator.

        :param controller: controls this agent's own rank.
        :param engine_at: returns a client of the engine at an address.
        :param layout: returns the numbers of layers and of expert slots per
            rank and layer of the service, or None if not known.
        """
        self._controller = controller
        self._view = view
        self._publisher = publisher
        self._engine_at = engine_at
        self._planner = map_planner
        self._layout = layout
        self._intent: messages.Intent | None = None
        self._direct_controllers: dict[int, rank.RankController] = {}
        self._highest_version = 0
        self.skew = 0.0
        self._activations = 0
        self._started_s = 0.0
        self._pass_times = pass_time.PassTimeEstimator()
        self._arming_s = 0.0

    async def run(self) -> None:
        """Coordinate the group whenever it is this rank's turn; for ever."""
        self._started_s = asyncio.get_running_loop().time()
        while True:
            try:
                await asyncio.sleep(POLL_PERIOD_S)
                if self._is_coordinator():
                    await self._coordinate()
            except CoordinationLost as exc:
                self._intent = None
                decisions.log('coordination_ended', reason=str(exc))

    def _own_status(self) -> Status | None:
        return self._controller.status()

    def _is_coordinator(self) -> bool:
        own = self._own_status()
        if own is None or not own.is_open:
            return False
        # A running coordinator becomes known only after its agent, or a rank
        # that has promised it a term, has been heard.
        loop = asyncio.get_running_loop()
        listening_s = loop.time() - self._started_s
        return (
            listening_s >= AGENT_TIMEOUT_S
            and self._view.coordinator_rank(own) == own.rank
        )

    async def _coordinate(self) -> None:
        own = self._own_status()
        highest = max(self._view.highest_term(), self._controller.term)
        term = (highest // TERM_STRIDE + 1) * TERM_STRIDE + own.rank
        decisions.log(
            'coordination_begins',
            group=own.group,
            epoch=own.epoch,
            rank=own.rank,
            term=term,
            heard=sorted(self._view.recent_statuses(own)),
        )
        self._intent = messages.Intent(
            term=term, group=own.group, epoch=own.epoch
        )
        while not await self._wait_for_ranks(_obeys_term, RESOLVE_TIMEOUT_S):
            pass
        while True:
            statuses = self._statuses()
            if len(statuses) == own.size and any(
                map(_is_unsettled, statuses.values())
            ):
                await self._resolve()
            elif len(statuses) == own.size:
                await self._rebalance(statuses)
            # Repeats the intent for one period; no status ends the wait.
            await self._wait_for_ranks(lambda _: False, POLL_PERIOD_S)

    async def _wait_for_ranks(
        self,
        reached: Callable[[Status], bool],
        timeout_s: float,
        give_up: Callable[[Status], bool] = lambda _: False,
    ) -> bool:
        """Repeat the intent until all ranks comply; return whether they did.

        All ranks have to report and to obey the term, whatever *reached* is.

        :param reached: whether the status of a rank shows compliance.
        :param give_up: whether the status of a rank rules compliance out.
        :raises CoordinationLost: this agent may no longer coordinate.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        next_send_s = 0.0
        while True:
            self._ensure_coordinator()
            statuses = self._statuses()
            size = self._own_status().size
            if len(statuses) == size and all(map(reached, statuses.values())):
                return True
            if any(map(give_up, statuses.values())):
                return False
            now_s = loop.time()
            if now_s >= end_s:
                return False
            if now_s >= next_send_s:
                next_send_s = now_s + (
                    PREPARE_RESEND_PERIOD_S
                    if self._intent.phase == model.Phase.PREPARE
                    else RESEND_PERIOD_S
                )
                self._publisher.publish(
                    self._intent, self._intent_recipients(statuses)
                )
                await self._control_missing_ranks()
            self._view.changed.clear()
            try:
                async with asyncio.timeout(
                    max(0.001, min(end_s, next_send_s) - loop.time())
                ):
                    await self._view.changed.wait()
            except TimeoutError:
                continue

    def _intent_recipients(self, statuses: Mapping[int, Status]) -> list[str]:
        """Return the engine addresses to send the intent to; empty for all.

        An intent with a map is large, so it is repeated only to agents that
        have not ordered that version yet.
        """
        if self._intent.phase != model.Phase.PREPARE:
            return []
        version = self._intent.version
        # The own address alone if no other needs the map: an empty list would
        # mean all.
        return [
            address
            for number, address in self._view.addresses.items()
            if number not in statuses
            or statuses[number].ordered_version != version
        ] or [self._view.addresses.get(self._own_status().rank, '')]

    def _ensure_coordinator(self) -> None:
        """Sample the pass time and check that this agent still coordinates.

        The sample counts the rank as busy always. While the group is idle, the
        pass time is therefore the time since its last pass began.

        :raises CoordinationLost: this agent may no longer coordinate.
        """
        own = self._own_status()
        if own is None:
            raise CoordinationLost('the engine of this rank is silent')
        now_s = asyncio.get_running_loop().time()
        self._pass_times.add(now_s, own.epoch, own.step, True)
        epoch = (self._intent.group, self._intent.epoch)
        if (own.group, own.epoch) != epoch or not own.is_open:
            raise CoordinationLost('the group closed or was formed again')
        heard = self._view.recent_statuses(own)
        # A rank that has promised a higher term ignores this coordinator until
        # it takes over again with a term above that one.
        if max(s.term for s in heard.values()) > self._intent.term:
            raise CoordinationLost('a rank has promised a later term')
        if self._view.coordinator_rank(own) != own.rank:
            raise CoordinationLost('another rank is the coordinator')

    def _statuses(self) -> dict[int, Status]:
        """Return the statuses of the ranks that obey the current term."""
        own = self._own_status()
        heard = self._view.recent_statuses(own)
        known = {
            number: controller.status()
            for number, controller in self._direct_controllers.items()
            if number not in heard and controller.status() is not None
        } | heard
        return {
            number: status
            for number, status in known.items()
            if status.epoch == own.epoch and status.term == self._intent.term
        }

    async def _control_missing_ranks(self) -> None:
        """Control ranks without a live agent directly at their engines."""
        own = self._own_status()
        heard = self._view.recent_statuses(own)
        missing = {
            number: address
            for number, address in self._view.addresses.items()
            if number not in heard
        }
        for number in self._direct_controllers.keys() - missing.keys():
            del self._direct_controllers[number]
        if missing:
            await asyncio.gather(
                *(self._control_rank(*item) for item in missing.items())
            )

    async def _control_rank(self, number: int, address: str) -> None:
        if number not in self._direct_controllers:
            decisions.log('rank_driven', rank=number, address=address)
            self._direct_controllers[number] = rank.RankController(
                self._engine_at(address)
            )
        controller = self._direct_controllers[number]
        controller.accept(self._intent)
        try:
            await controller.reconcile()
        except model.EngineUnavailable as exc:
            controller.report = None
            decisions.log('engine_silent', rank=number, reason=str(exc))

    def _set_intent(self, phase: model.Phase, **fields: object) -> None:
        intent = messages.Intent(
            term=self._intent.term,
            group=self._intent.group,
            epoch=self._intent.epoch,
            phase=int(phase),
            serial=self._intent.serial + 1,
            **fields,
        )
        self._intent = intent
        self._controller.accept(intent)

    def _next_version(self, statuses: Mapping[int, Status]) -> int:
        """Return a version above all versions that the ranks report."""
        highest = max(
            max(s.prepared, s.map_version, s.armed_version, s.refused_version)
            for s in statuses.values()
        )
        # A restarted agent does not know the versions that it ordered before.
        # The Unix time in tenths of a second is greater than any of them.
        now = int(time.time() * 10)
        self._highest_version = max(self._highest_version, highest, now) + 1
        return self._highest_version

    async def _resolve(self) -> None:
        """End a switch that a previous coordinator left unfinished."""
        statuses = self._statuses()
        armed = {
            (s.rank, s.armed_step)
            for s in statuses.values()
            if s.armed_version != messages.UNSET
        }
        held = {
            (s.rank, s.held_step)
            for s in statuses.values()
            if s.held_step != messages.UNSET
        }
        begun = max(s.step for s in statuses.values())
        steps = {step for _, step in armed | held if step > begun}
        decisions.log(
            'switch_resolved',
            group=self._intent.group,
            term=self._intent.term,
            armed=sorted(armed),
            held=sorted(held),
            begun=begun,
        )
        if steps:
            await self._abort(min(steps))
        else:
            # The step has begun already: some of the reports are from before
            # the switch and others from after it.
            await self._wait_for_ranks(_is_settled, RESOLVE_TIMEOUT_S)

    async def _abort(self, step: int) -> None:
        """Disarm all ranks, invalidate delayed orders and release the group.

        Ranks are disarmed one by one, so the step must not begin before the
        last one is disarmed. A hold at another rank does not ensure that, as a
        release of it may be in flight; only a hold at this coordinator's own
        rank does.
        """
        if not await self._hold(step):
            return
        while True:
            statuses = self._statuses()
            if len(statuses) < self._own_status().size:
                # A rank that does not answer may still be armed, so that a
                # release would be unsafe.
                await self._wait_for_ranks(_obeys_term, RESOLVE_TIMEOUT_S)
                continue
            if not all(map(_has_experts, statuses.values())):
                # Ranks report their experts to a new coordinator with a delay.
                await self._wait_for_ranks(_has_experts, RESOLVE_TIMEOUT_S)
                continue
            version = self._next_version(statuses)
            current = [statuses[n].experts for n in sorted(statuses)]
            self._set_intent(
                model.Phase.ABORT,
                version=version,
                experts=packing.join_ranks(current),
            )
            if await self._wait_for_ranks(
                lambda s, v=version: (
                    s.prepared == v and s.armed_version == messages.UNSET
                ),
                RESOLVE_TIMEOUT_S,
                lambda s, v=version: s.refused_version == v,
            ):
                break
        for held in {
            s.held_step
            for s in self._statuses().values()
            if s.held_step != messages.UNSET
        }:
            await self._release(held)

    async def _hold(self, step: int) -> bool:
        """Hold a step at this coordinator's own rank.

        :return: whether the hold is in place; True also if that rank already
            holds an earlier step.
        """
        own_rank = self._own_status().rank
        held = self._own_status().held_step
        if held > step:
            # Left by a delayed order; a rank can hold only one step.
            await self._release(held)
        elif held != messages.UNSET:
            return True
        self._set_intent(model.Phase.HOLD, step=step, holder=own_rank)
        await self._wait_for_ranks(
            lambda s: (
                s.rank != own_rank or s.held_step == step or s.step >= step
            ),
            HOLD_TIMEOUT_S,
        )
        return self._own_status().held_step == step

    async def _release(self, step: int) -> None:
        self._set_intent(model.Phase.RELEASE, step=step)
        while not await self._wait_for_ranks(
            lambda s: s.held_step != step, RESOLVE_TIMEOUT_S
        ):
            decisions.log('release_unconfirmed', step=step)

    async def _rebalance(self, statuses: Mapping[int, Status]) -> None:
        """Plan a new map and switch to it if the plan has any moves."""
        if len(statuses) <= MAX_INLINE_PLAN_RANKS:
            plan = self._plan(statuses)
        else:
            # Planning a large map on the event loop would delay statuses.
            plan = await asyncio.to_thread(self._plan, statuses)
            self._ensure_coordinator()
        if plan is None:
            return
        version = self._next_version(statuses)
        experts = placement.experts_by_rank(plan.placement)
        started_s = time.monotonic()
        self._set_intent(
            model.Phase.PREPARE,
            version=version,
            experts=packing.pack_map(experts),
        )
        is_prepared = await self._wait_for_ranks(
            lambda s: s.prepared == version,
            PREPARE_TIMEOUT_S,
            lambda s: s.refused_version == version,
        )
        prepared_s = time.monotonic()
        if is_prepared:
            await self._switch(version)
        self._set_intent(model.Phase.IDLE)
        decisions.log(
            'switch',
            group=self._intent.group,
            version=version,
            skew=round(self.skew, 3),
            choices=self._activations,
            moves=plan.moves,
            is_prepared=is_prepared,
            prepare_s=round(prepared_s - started_s, 3),
            switch_s=round(time.monotonic() - prepared_s, 3),
        )

    async def _switch(self, version: int) -> None:
        loop = asyncio.get_running_loop()
        step = self._own_status().step + self._lookahead_steps(loop.time())
        if not await self._hold(step):
            # The order may still be executed, so the step is released.
            await self._release(step)
            return
        started_s = loop.time()
        self._set_intent(model.Phase.ARM, version=version, step=step)
        is_armed = await self._wait_for_ranks(
            lambda s: (s.armed_version, s.armed_step) == (version, step),
            ARM_TIMEOUT_S,
        )
        # If the process was suspended, more than the time-out has elapsed.
        took_s = min(loop.time() - started_s, ARM_TIMEOUT_S)
        self._arming_s = max(took_s, self._arming_s * ARMING_TIME_DECAY)
        if is_armed:
            await self._release(step)
            # An idle group begins no step, so this may take any time.
            while not await self._wait_for_ranks(
                lambda s: s.map_version == version, RESOLVE_TIMEOUT_S
            ):
                if not all(
                    version in (s.map_version, s.armed_version)
                    for s in self._statuses().values()
                ):
                    return
        else:
            await self._abort(step)

    def _lookahead_steps(self, now_s: float) -> int:
        pass_s = self._pass_times.pass_s(now_s) or DEFAULT_PASS_S
        needed = math.ceil(self._arming_s * ARMING_TIME_FACTOR / pass_s) + 1
        return min(max(MIN_LOOKAHEAD_STEPS, needed), MAX_LOOKAHEAD_STEPS)

    def _is_fast_enough(self, now_s: float) -> bool:
        """Return whether callers would not notice a better map.

        Rebalancing is not free: copying experts costs the operator and slows
        the passes down while it lasts.
        """
        return (
            0 < self._pass_times.pass_s(now_s) < REBALANCE_PASS_S
            and self.skew < REBALANCE_SKEW
        )

    def _plan(self, statuses: Mapping[int, Status]) -> planner.Plan | None:
        layout = self._layout()
        if layout is None:
            return None
        layers, slots = layout
        try:
            counts = [
                packing.unpack_counts(status.demand)
                for status in statuses.values()
            ]
            rows = [
                packing.unpack_rank(statuses[number].experts)
                for number in sorted(statuses)
            ]
        except ValueError as exc:
            decisions.log('status_unreadable', reason=str(exc))
            return None
        totals = demand.total_by_layer(counts, layers)
        versions = {status.map_version for status in statuses.values()}
        if (
            totals is None
            or len(versions) > 1
            or any(len(row) != layers for row in rows)
        ):
            return None
        current = placement.from_experts(rows, slots)
        self._activations = round(sum(map(sum, totals)))
        self.skew = (
            sum(
                layer.skew(row)
                for layer, row in zip(current.layers, totals, strict=True)
            )
            / layers
        )
        if self._is_fast_enough(time.monotonic()):
            return None
        plan = self._planner.plan(
            current,
            observation.Observation(tuple(totals), (None,) * len(rows)),
            time.monotonic(),
        )
        return plan if plan.moves else None


def _have_same_map(one: Status, other: Status) -> bool:
    return (one.group, one.epoch, one.map_version) == (
        other.group,
        other.epoch,
        other.map_version,
    )


def _obeys_term(status: Status) -> bool:
    """Return True: the statuses are only those of ranks that obey the term.

    See :meth:`Coordinator._statuses`.
    """
    return True


def _has_experts(status: Status) -> bool:
    return bool(status.experts)


def _is_settled(status: Status) -> bool:
    return not _is_unsettled(status)


def _is_unsettled(status: Status) -> bool:
    return (
        status.held_step != messages.UNSET
        or status.armed_version != messages.UNSET
    )
