"""Plans the map of one group and switches all ranks to it together.

The agent of the lowest rank that is heard coordinates until it is lost; one
that returns does not take over again, as each change of the coordinator in the
middle of a switch prolongs the hold. A coordinator first
gets the promise of every rank to obey no lower term, then brings what an
earlier one left behind to an end, and only then plans. It holds the step at
its own rank, since a release by the earlier one may be on its way; it disarms
all ranks and gives them a new version, after which a late order to arm is
refused; then it releases whatever is held. To complete a switch that is armed
everywhere would not be safe: an order to disarm may be on its way.
``proof/live_switch.py`` checks this against late orders and a coordinator that
wakes up.

A rank whose agent is not heard is driven from here, at the engine itself.
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

HEARD_S = 0.7
"""Silence after which an agent counts as lost: seven periods of its status."""

SWITCH_SILENCE_S = 0.3
"""The same in the middle of a switch, when the group may be held: six periods
of the coordinator's intents."""

TICK_S = 0.1
REPEAT_S = 0.05
"""Period of intents and direct orders while ranks have to follow."""

PREPARE_REPEAT_S = 0.25
"""The same while weights arrive; the message has the whole map, and a status
shows within 0.1 s that it came."""

MARGIN_STEPS = 3
"""Fewest steps from the present one to the held one. Until it begins all
ranks have to be armed: a message each way and an order, 20 ms, or 60 ms with
a repeated order, which is one step; two more are kept for what is under
way."""

MAX_MARGIN_STEPS = 16
"""The same when orders have to be repeated often: 0.8 s at the usual pace. A
group that waits for them makes all its streams late."""

ARMING_MARGIN = 1.25
"""Time kept for the next switch, over that which the slowest of the last
ones took to arm all ranks."""

ARMING_MEMORY = 0.7
"""How much of that time counts at the switch after the next."""

USUAL_PASS_S = 0.05

QUICK_PASS_S = 0.055
"""Passes below are left alone: a shift of the demand doubles their time, which
is still within the pause of 0.12 s that callers allow between events."""

MODERATE_SKEW = 2.0
"""Skew above which quick passes are not left alone: right after a shift it is
2.5 to 3, and more load can come at any time."""

PREPARE_TIMEOUT_S = 2.5
"""Four weights of 0.15 s, and orders that have to be repeated."""

HOLD_TIMEOUT_S = 0.3
ARM_TIMEOUT_S = 1.0
"""Below the 1.5 s after which a stalled engine ends its work."""

RESOLVE_TIMEOUT_S = 1.0
INLINE_RANKS = 8
"""Ranks up to which a plan takes less than 0.05 s."""

TERM_STEP = 256
"""Terms of different ranks differ; a group has at most 256 ranks."""

_SWITCHING = frozenset(
    {
        model.Phase.HOLD,
        model.Phase.ARM,
        model.Phase.ABORT,
        model.Phase.RELEASE,
    }
)

Status = messages.RankStatus


class CoordinationLost(Exception):
    """Another agent coordinates, or the group formed anew."""


class IntentPublisher(Protocol):
    """Sends intents to the agents of a group."""

    def publish(
        self, intent: messages.Intent, addresses: Collection[str]
    ) -> None:
        """Send an intent to the agents beside some engines.

        :param addresses: addresses of the engines; empty for the whole group.
        """


class GroupView:
    """Last statuses of the ranks of the own group."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._heard: dict[int, tuple[float, Status]] = {}
        self._intent_s = 0.0
        self._intent: messages.Intent | None = None
        self._term = 0
        self._term_s = 0.0
        self.changed = asyncio.Event()
        self.addresses: dict[int, str] = {}

    def record_status(self, status: Status) -> None:
        """Store a status that arrived now.

        Experts and demand are left out of most messages.
        """
        _, last = self._heard.get(status.rank, (0.0, None))
        if last is not None and _same_map(last, status):
            status.experts = status.experts or last.experts
            status.demand = status.demand or last.demand
        self._heard[status.rank] = (self._clock(), status)
        self._note_term(status.term)
        if status.address:
            self.addresses[status.rank] = status.address
        self.changed.set()

    def record_intent(self, intent: messages.Intent) -> None:
        """Note that the coordinator lives."""
        if self._intent is not None and intent.term < self._intent.term:
            return
        self._note_term(intent.term)
        now_s = self._clock()
        if self._intent is not None and intent.term > self._intent.term:
            # Its last status may be fresh still.
            self._heard.pop(self._lost_coordinator(now_s), None)
        self._intent = intent
        self._intent_s = now_s

    def recent_statuses(self, own: Status) -> dict[int, Status]:
        """Return the ranks of the group that were heard lately.

        A coordinator that fell silent in the middle of a switch is left out
        sooner than others.
        """
        now_s = self._clock()
        lost = self._lost_coordinator(now_s)
        found = {
            number: status
            for number, (heard_s, status) in self._heard.items()
            if now_s - heard_s <= HEARD_S
            and status.group == own.group
            and number != lost
        }
        return found | {own.rank: own}

    def _lost_coordinator(self, now_s: float) -> int | None:
        intent = self._intent
        if (
            intent is None
            or intent.phase not in _SWITCHING
            or now_s - self._intent_s <= SWITCH_SILENCE_S
        ):
            return None
        return intent.term % TERM_STEP

    def coordinator_rank(self, own: Status) -> int:
        """Return the rank that coordinates or has to begin.

        An agent that was stopped for a while hears some ranks before the one
        that coordinates by now; it waits for that one.
        """
        heard = self.recent_statuses(own)
        highest = max(status.term for status in heard.values())
        present = highest % TERM_STEP
        is_new = (
            highest == self._term
            and self._clock() - self._term_s <= HEARD_S
            and present != self._lost_coordinator(self._clock())
        )
        if highest and (present in heard or is_new):
            return present
        return min(heard)

    def _note_term(self, term: int) -> None:
        if term > self._term:
            self._term, self._term_s = term, self._clock()

    def ips(self) -> set[str]:
        """Return the hosts of all ranks that were ever heard."""
        return {item.rpartition(':')[0] for item in self.addresses.values()}

    def coordinator_ip(self, own: Status) -> str:
        """Return the host of the rank that coordinates."""
        address = self.addresses.get(self.coordinator_rank(own), '')
        return address.rpartition(':')[0]

    def highest_term(self) -> int:
        """Return the highest term that any rank promised."""
        return max(
            (status.term for _, status in self._heard.values()), default=0
        )


class Coordinator:
    """Coordinates the group of one rank for as long as it is its turn."""

    def __init__(
        self,
        own: rank.RankController,
        view: GroupView,
        messenger: IntentPublisher,
        engine_at: Callable[[str], model.RankEngine],
        plans: planner.Planner,
        layout: Callable[[], tuple[int, int] | None],
    ) -> None:
        """Create a coordinator.

        :param engine_at: returns the engine at an address.
        :param layout: returns layers and places of the service, or None.
        """
        self._own = own
        self._view = view
        self._messenger = messenger
        self._engine_at = engine_at
        self._plans = plans
        self._layout = layout
        self._intent: messages.Intent | None = None
        self._direct: dict[int, rank.RankController] = {}
        self._highest_version = 0
        self.skew = 0.0
        self._choices = 0
        self._began_s = 0.0
        self._pace = pass_time.PassTimeEstimator()
        self._arming_s = 0.0

    async def run(self) -> None:
        """Coordinate for ever."""
        self._began_s = asyncio.get_running_loop().time()
        while True:
            try:
                await asyncio.sleep(TICK_S)
                if self._leads():
                    await self._lead()
            except CoordinationLost as exc:
                self._intent = None
                decisions.log('coordination_ended', reason=str(exc))

    def _own_status(self) -> Status | None:
        return self._own.status()

    def _leads(self) -> bool:
        own = self._own_status()
        if own is None or not own.is_open:
            return False
        # Until the others were heard, their coordinator is not known.
        loop = asyncio.get_running_loop()
        listening_s = loop.time() - self._began_s
        return (
            listening_s >= HEARD_S
            and self._view.coordinator_rank(own) == own.rank
        )

    async def _lead(self) -> None:
        own = self._own_status()
        highest = max(self._view.highest_term(), self._own.term)
        term = (highest // TERM_STEP + 1) * TERM_STEP + own.rank
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
        while not await self._until(_has_any, RESOLVE_TIMEOUT_S):
            pass
        while True:
            statuses = self._statuses()
            if len(statuses) == own.size and any(
                map(_is_unfinished, statuses.values())
            ):
                await self._resolve()
            elif len(statuses) == own.size:
                await self._improve(statuses)
            await self._until(lambda _: False, TICK_S)

    async def _until(
        self,
        reached: Callable[[Status], bool],
        timeout_s: float,
        give_up: Callable[[Status], bool] = lambda _: False,
    ) -> bool:
        """Wait until all ranks reached a state; return whether they did.

        :raises CoordinationLost: this agent must not go on.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        next_send_s = 0.0
        while True:
            self._check()
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
                    PREPARE_REPEAT_S
                    if self._intent.phase == model.Phase.PREPARE
                    else REPEAT_S
                )
                self._messenger.publish(self._intent, self._unaware(statuses))
                await self._drive_missing()
            self._view.changed.clear()
            try:
                async with asyncio.timeout(
                    max(0.001, min(end_s, next_send_s) - loop.time())
                ):
                    await self._view.changed.wait()
            except TimeoutError:
                continue

    def _unaware(self, statuses: Mapping[int, Status]) -> list[str]:
        """Return the engines whose agents still need the present intent.

        A map is long, so only those get it again that did not order it.
        """
        if self._intent.phase != model.Phase.PREPARE:
            return []
        version = self._intent.version
        return [
            address
            for number, address in self._view.addresses.items()
            if number not in statuses
            or statuses[number].ordered_version != version
        ] or [self._view.addresses.get(self._own_status().rank, '')]

    def _check(self) -> None:
        own = self._own_status()
        if own is None:
            raise CoordinationLost('the own engine is silent')
        now_s = asyncio.get_running_loop().time()
        self._pace.add(now_s, own.epoch, own.step, True)
        epoch = (self._intent.group, self._intent.epoch)
        if (own.group, own.epoch) != epoch or not own.is_open:
            raise CoordinationLost('the group formed anew')
        heard = self._view.recent_statuses(own)
        # A rank that promised another coordinator more obeys this one only
        # after a new claim.
        if max(s.term for s in heard.values()) > self._intent.term:
            raise CoordinationLost('a later term was promised')
        if self._view.coordinator_rank(own) != own.rank:
            raise CoordinationLost('another rank coordinates')

    def _statuses(self) -> dict[int, Status]:
        """Return the ranks that obey the present term."""
        own = self._own_status()
        heard = self._view.recent_statuses(own)
        found = {
            number: driver.status()
            for number, driver in self._direct.items()
            if number not in heard and driver.status() is not None
        } | heard
        return {
            number: status
            for number, status in found.items()
            if status.epoch == own.epoch and status.term == self._intent.term
        }

    async def _drive_missing(self) -> None:
        """Drive the ranks whose agents are not heard."""
        own = self._own_status()
        heard = self._view.recent_statuses(own)
        missing = {
            number: address
            for number, address in self._view.addresses.items()
            if number not in heard
        }
        for number in self._direct.keys() - missing.keys():
            del self._direct[number]
        if missing:
            await asyncio.gather(
                *(self._drive(*item) for item in missing.items())
            )

    async def _drive(self, number: int, address: str) -> None:
        if number not in self._direct:
            decisions.log('rank_driven', rank=number, address=address)
            self._direct[number] = rank.RankController(
                self._engine_at(address)
            )
        driver = self._direct[number]
        driver.accept(self._intent)
        try:
            await driver.reconcile()
        except model.EngineUnavailable as exc:
            driver.report = None
            decisions.log('engine_silent', rank=number, reason=str(exc))

    def _want(self, phase: model.Phase, **fields: object) -> None:
        intent = messages.Intent(
            term=self._intent.term,
            group=self._intent.group,
            epoch=self._intent.epoch,
            phase=int(phase),
            serial=self._intent.serial + 1,
            **fields,
        )
        self._intent = intent
        self._own.accept(intent)

    def _new_version(self, statuses: Mapping[int, Status]) -> int:
        """Return a version above all that the ranks are known to have had."""
        seen = max(
            max(s.prepared, s.map_version, s.armed_version, s.refused_version)
            for s in statuses.values()
        )
        # A restarted agent does not know the versions that it ordered; the
        # time in tenths of a second is above them.
        now = int(time.time() * 10)
        self._highest_version = max(self._highest_version, seen, now) + 1
        return self._highest_version

    async def _resolve(self) -> None:
        """End a switch that was begun earlier."""
        statuses = self._statuses()
        armed = {
            (s.rank, s.armed_step)
            for s in statuses.values()
            if s.armed_version != messages.NONE
        }
        held = {
            (s.rank, s.held_step)
            for s in statuses.values()
            if s.held_step != messages.NONE
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
            # Reports from before and after the switch.
            await self._until(_is_finished, RESOLVE_TIMEOUT_S)

    async def _abort(self, step: int) -> None:
        """Disarm all ranks, make late orders harmless, release the group.

        Ranks are disarmed one by one, so the step must not begin meanwhile.
        It may be held at another rank, but a release of that hold may be on
        its way; only an own hold is certain.
        """
        if not await self._hold(step):
            return
        while True:
            statuses = self._statuses()
            if len(statuses) < self._own_status().size:
                # Without every rank nothing can be released safely.
                await self._until(_has_any, RESOLVE_TIMEOUT_S)
                continue
            if not all(map(_tells_experts, statuses.values())):
                # Ranks tell a new coordinator a little later what they hold.
                await self._until(_tells_experts, RESOLVE_TIMEOUT_S)
                continue
            version = self._new_version(statuses)
            current = [statuses[n].experts for n in sorted(statuses)]
            self._want(
                model.Phase.ABORT,
                version=version,
                experts=packing.join_ranks(current),
            )
            if await self._until(
                lambda s, v=version: (
                    s.prepared == v and s.armed_version == messages.NONE
                ),
                RESOLVE_TIMEOUT_S,
                lambda s, v=version: s.refused_version == v,
            ):
                break
        for held in {
            s.held_step
            for s in self._statuses().values()
            if s.held_step != messages.NONE
        }:
            await self._release(held)

    async def _hold(self, step: int) -> bool:
        """Hold a step at the own rank; return whether it is held."""
        own_rank = self._own_status().rank
        held = self._own_status().held_step
        if held > step:
            # A late order; a rank has one hold at a time.
            await self._release(held)
        elif held != messages.NONE:
            return True
        self._want(model.Phase.HOLD, step=step, holder=own_rank)
        await self._until(
            lambda s: (
                s.rank != own_rank or s.held_step == step or s.step >= step
            ),
            HOLD_TIMEOUT_S,
        )
        return self._own_status().held_step == step

    async def _release(self, step: int) -> None:
        self._want(model.Phase.RELEASE, step=step)
        while not await self._until(
            lambda s: s.held_step != step, RESOLVE_TIMEOUT_S
        ):
            decisions.log('release_unconfirmed', step=step)

    async def _improve(self, statuses: Mapping[int, Status]) -> None:
        """Plan, and switch if it pays."""
        if len(statuses) <= INLINE_RANKS:
            plan = self._plan(statuses)
        else:
            # Statuses must go out while a large map is planned.
            plan = await asyncio.to_thread(self._plan, statuses)
            self._check()
        if plan is None:
            return
        version = self._new_version(statuses)
        experts = placement.experts_by_rank(plan.placement)
        began_s = time.monotonic()
        self._want(
            model.Phase.PREPARE,
            version=version,
            experts=packing.pack_map(experts),
        )
        is_prepared = await self._until(
            lambda s: s.prepared == version,
            PREPARE_TIMEOUT_S,
            lambda s: s.refused_version == version,
        )
        prepared_s = time.monotonic()
        if is_prepared:
            await self._switch(version)
        self._want(model.Phase.IDLE)
        decisions.log(
            'switch',
            group=self._intent.group,
            version=version,
            skew=round(self.skew, 3),
            choices=self._choices,
            moves=plan.moves,
            is_prepared=is_prepared,
            prepare_s=round(prepared_s - began_s, 3),
            switch_s=round(time.monotonic() - prepared_s, 3),
        )

    async def _switch(self, version: int) -> None:
        loop = asyncio.get_running_loop()
        step = self._own_status().step + self._margin_steps(loop.time())
        if not await self._hold(step):
            # The order may be carried out later.
            await self._release(step)
            return
        began_s = loop.time()
        self._want(model.Phase.ARM, version=version, step=step)
        is_armed = await self._until(
            lambda s: (s.armed_version, s.armed_step) == (version, step),
            ARM_TIMEOUT_S,
        )
        # A process that was stopped meanwhile took longer than its time-out.
        took_s = min(loop.time() - began_s, ARM_TIMEOUT_S)
        self._arming_s = max(took_s, self._arming_s * ARMING_MEMORY)
        if is_armed:
            await self._release(step)
            # A group without work begins no step.
            while not await self._until(
                lambda s: s.map_version == version, RESOLVE_TIMEOUT_S
            ):
                if not all(
                    version in (s.map_version, s.armed_version)
                    for s in self._statuses().values()
                ):
                    return
        else:
            await self._abort(step)

    def _margin_steps(self, now_s: float) -> int:
        pass_s = self._pace.pass_s(now_s) or USUAL_PASS_S
        needed = math.ceil(self._arming_s * ARMING_MARGIN / pass_s) + 1
        return min(max(MARGIN_STEPS, needed), MAX_MARGIN_STEPS)

    def _is_quick(self, now_s: float) -> bool:
        """Return whether a better map would not be noticed by callers.

        Copies of weights cost the operator, and passes take longer meanwhile.
        """
        return (
            0 < self._pace.pass_s(now_s) < QUICK_PASS_S
            and self.skew < MODERATE_SKEW
        )

    def _plan(self, statuses: Mapping[int, Status]) -> planner.Plan | None:
        layout = self._layout()
        if layout is None:
            return None
        layers, places = layout
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
        seen = demand.total_by_layer(counts, layers)
        versions = {status.map_version for status in statuses.values()}
        if (
            seen is None
            or len(versions) > 1
            or any(len(row) != layers for row in rows)
        ):
            return None
        current = placement.from_experts(rows, places)
        self._choices = round(sum(map(sum, seen)))
        self.skew = (
            sum(
                layer.skew(row)
                for layer, row in zip(current.layers, seen, strict=True)
            )
            / layers
        )
        if self._is_quick(time.monotonic()):
            return None
        plan = self._plans.plan(
            current,
            observation.Observation(tuple(seen), (None,) * len(rows)),
            time.monotonic(),
        )
        return plan if plan.moves else None


def _same_map(one: Status, other: Status) -> bool:
    return (one.group, one.epoch, one.map_version) == (
        other.group,
        other.epoch,
        other.map_version,
    )


def _has_any(status: Status) -> bool:
    return True


def _tells_experts(status: Status) -> bool:
    return bool(status.experts)


def _is_finished(status: Status) -> bool:
    return not _is_unfinished(status)


def _is_unfinished(status: Status) -> bool:
    return (
        status.held_step != messages.NONE
        or status.armed_version != messages.NONE
    )
