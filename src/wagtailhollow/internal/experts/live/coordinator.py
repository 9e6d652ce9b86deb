"""Plans the expert map of one group and switches all its ranks atomically.

The lowest rank whose agent is alive becomes the coordinator and stays it until
its agent is lost. A lower rank that returns does not take over, because a
change of coordinator during a switch prolongs the time for which the group is
held.

A new coordinator first makes every rank promise to obey no lower term, then
ends any switch that its predecessor left unfinished, and only then plans. To
end a switch it

1. holds the step at two ranks, because a release sent by the predecessor may
   still be in flight to one of them, also if that was this same agent;
2. disarms all ranks and has them prepare a new version, after which engines
   refuse a delayed order to arm the old one;
3. releases every hold.

It does not complete such a switch even if all ranks are armed, because an
order to disarm may still be in flight. If it finds no switch, but a version
that is prepared, it takes the second step only. ``holds.py`` says which steps
it holds; ``proof/live_switch.py`` checks the protocol against delayed orders
and a coordinator that resumes after a pause.

If no status arrives from a rank's agent, the coordinator sends its orders
directly to the engine of that rank.
"""

from __future__ import annotations

import asyncio
import copy
import dataclasses
import random
import time
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Mapping,
    Sequence,
)
from typing import Any, Protocol

from ...datagram import messages
from ...observability import decisions
from .. import observation, placement, planner
from . import (
    demand,
    group_view,
    holds,
    lookahead,
    model,
    packing,
    pass_time,
    rank,
)
from . import statuses as rank_statuses

POLL_PERIOD_S = 0.1
CHECK_PERIOD_PER_RANK_S = 50e-6
"""Least time between two looks at the statuses, for each rank of the group, so
that the work does not grow with the square of the group when all ranks answer
at once."""

VERSION_STRIDE = 1 << 20
"""A version is a multiple of this, at least by the term, plus a random number.
The random part keeps two maps from getting the same version after all agents
have forgotten the terms."""

MAX_STRAGGLER_SHARE = 0.5
"""While more of the ranks than this still copy weights, they are not asked for
their statuses; they report by themselves. Their reports may be lost."""

COPY_TIME_S = 0.6
"""Longest time in which a rank copies the weights of one plan's experts."""

PREPARE_TIMEOUT_S = 2.5
"""Allows for copying the weights and for repeated orders."""

HOLD_TIMEOUT_S = 0.3
ARM_TIMEOUT_S = 1.0
"""Less than the 1.5 s after which a stalled engine abandons its work."""

RESOLVE_TIMEOUT_S = 1.0
MAX_INLINE_PLAN_RANKS = 8
"""Largest group planned on the event loop; a plan for it takes less than
0.05 s."""

Status = messages.RankStatus


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What the manifest says of a service with expert maps.

    :ivar layers: number of sets of layers.
    :ivar places: experts that a rank holds per set.
    :ivar gap_s: shortest pause between two events of a stream that a route
        to the service allows.
    """

    layers: int
    places: int
    gap_s: float


class CoordinationLost(Exception):
    """This agent may no longer coordinate its group."""


class IntentPublisher(Protocol):
    """Sends intents to the agents of a group."""

    def publish(
        self, intent: messages.Intent, lagging: Collection[str]
    ) -> None:
        """Send an intent, without its map, to the agents of a group.

        The whole group gets it when it is new, and periodically.

        :param lagging: addresses of the engines whose agents get it at once
            and are asked for their status.
        """

    def offer_map(
        self,
        intent: messages.Intent,
        moves_only: messages.Intent | None,
        knowing: Collection[str],
        others: Collection[str],
    ) -> None:
        """Send a map to agents that may not still be receiving it.

        :param moves_only: the intent with the difference to the map in
            effect; None if that cannot be told.
        :param knowing: addresses of the engines whose agents know the map in
            effect.
        :param others: addresses of the engines whose agents do not.
        """

    def resend_period_s(self, receivers: int) -> float:
        """Return how often an intent may be repeated to *receivers* agents."""


class Coordinator:
    """Coordinates the group of one rank while that rank is coordinator.

    :ivar skew: mean skew of the layers when the map was last assessed.
    """

    def __init__(
        self,
        controller: rank.RankController,
        view: group_view.GroupView,
        publisher: IntentPublisher,
        engine_at: Callable[[str], model.RankEngine],
        map_planner: planner.Planner,
        limits: Callable[[], Limits | None],
        demand_counts: Callable[[], Sequence[float]],
        rng: random.Random | None = None,
        max_inline_plan_ranks: int = MAX_INLINE_PLAN_RANKS,
        run_in_thread: Callable[..., Awaitable[Any]] = asyncio.to_thread,
    ) -> None:
        """Create a coordinator.

        :param controller: controls this agent's own rank.
        :param engine_at: returns a client of the engine at an address.
        :param limits: returns the limits of the service, None if not known.
        :param demand_counts: returns the recent activations of each expert of
            all layers, summed over the group; empty if not known.
        :param max_inline_plan_ranks: size of the largest group whose maps are
            planned on the event loop.
        :param run_in_thread: calls a function in another thread.
        """
        self._controller = controller
        self._view = view
        self._publisher = publisher
        self._engine_at = engine_at
        self._planner = map_planner
        self._limits = limits
        self._demand_counts = demand_counts
        self._rng = rng or random.Random()
        self._max_inline_plan_ranks = max_inline_plan_ranks
        self._run_in_thread = run_in_thread
        self._intent: messages.Intent | None = None
        self._moves_only: messages.Intent | None = None
        self._direct_controllers: dict[int, rank.RankController] = {}
        self._highest_version = 0
        self.skew = 0.0
        self._activations = 0
        self._started_s = 0.0
        self._pass_times = pass_time.PassTimeEstimator()
        self._arming_times = lookahead.ArmingTimes()
        self._steps = holds.HeldSteps()

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
            listening_s >= group_view.AGENT_TIMEOUT_S
            and self._view.coordinator_rank(own) == own.rank
        )

    async def _coordinate(self) -> None:
        own = self._own_status()
        highest = max(self._view.highest_term(), self._controller.term)
        stride = group_view.TERM_STRIDE
        term = (highest // stride + 1) * stride + own.rank
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
        while not await self._wait_for_ranks(
            rank_statuses.obeys_term, RESOLVE_TIMEOUT_S
        ):
            pass
        self._steps = holds.HeldSteps(self._statuses().values())
        while True:
            statuses = self._statuses()
            if len(statuses) == own.size:
                if self._steps.is_unresolved(statuses.values()):
                    await self._resolve(statuses)
                    self._stand_by()
                elif self._steps.has_free_step(self._own_status().step):
                    await self._rebalance(statuses)
            # Repeats the intent for one period; no status ends the wait.
            await self._wait_for_ranks(
                lambda _: False,
                POLL_PERIOD_S,
                lags=lambda status: (
                    not rank_statuses.has_experts(status)
                    or self._steps.has_only_obsolete_hold(status)
                ),
            )

    async def _wait_for_ranks(
        self,
        reached: Callable[[Status], bool],
        timeout_s: float,
        give_up: Callable[[Status], bool] = lambda _: False,
        lags: Callable[[Status], bool] | None = None,
    ) -> bool:
        """Repeat the intent until all ranks comply; return whether they did.

        All ranks have to report and to obey the term, whatever *reached* is.

        :param reached: whether the status of a rank shows compliance.
        :param give_up: whether the status of a rank rules compliance out.
        :param lags: whether the intent has to be sent to a rank again; by
            default, if its status does not show compliance.
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
                receivers = self._send(statuses, reached, lags)
                next_send_s = now_s + self._publisher.resend_period_s(
                    receivers
                )
                await self._control_missing_ranks()
            await self._wait_for_change(min(end_s, next_send_s))

    async def _wait_for_change(self, until_s: float) -> None:
        """Wait for a status and for those that arrive right behind it."""
        loop = asyncio.get_running_loop()
        self._view.changed.clear()
        try:
            async with asyncio.timeout(max(0.001, until_s - loop.time())):
                await self._view.changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(
            CHECK_PERIOD_PER_RANK_S * len(self._view.addresses)
        )

    def _send(
        self,
        statuses: Mapping[int, Status],
        reached: Callable[[Status], bool],
        lags: Callable[[Status], bool] | None,
    ) -> int:
        """Send the intent to the ranks that need it; return their number."""
        lagging = {
            number: address
            for number, address in self._view.addresses.items()
            if number not in statuses
            or (
                lags(statuses[number])
                if lags
                else not reached(statuses[number])
            )
        }
        phase = self._intent.phase
        if phase != model.Phase.PREPARE:
            self._publisher.publish(self._intent, lagging.values())
        elif statuses:
            copying = [
                self._view.addresses[number]
                for number, status in statuses.items()
                if number not in lagging and not reached(status)
            ]
            if len(copying) < MAX_STRAGGLER_SHARE * len(statuses):
                self._publisher.publish(self._intent, copying)
        if self._intent.has_map:
            self._offer_map(statuses, lagging)
        return len(lagging)

    def _offer_map(
        self, statuses: Mapping[int, Status], lagging: Mapping[int, str]
    ) -> None:
        """Offer the intent's map to the ranks that have not ordered it."""
        knowing, others = [], []
        for number, address in lagging.items():
            status = statuses.get(number)
            if status is None:
                others.append(address)
            elif status.ordered_version != self._intent.version:
                knows_base = (
                    status.knows_map
                    and self._moves_only is not None
                    and status.map_version == self._moves_only.base_version
                )
                (knowing if knows_base else others).append(address)
        self._publisher.offer_map(
            self._intent, self._moves_only, knowing, others
        )

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
        self._moves_only = None
        self._controller.accept(intent)

    def _stand_by(self) -> None:
        """Ask the ranks for nothing but to release obsolete holds."""
        self._set_intent(model.Phase.IDLE, step=self._steps.obsolete_step)

    def _set_map_intent(
        self,
        phase: model.Phase,
        version: int,
        ranks: packing.PackedMap,
        statuses: Mapping[int, Status],
        step: int,
    ) -> None:
        """Set an intent with a map, in full and as moves.

        :param statuses: statuses of all ranks, whose experts are in effect.
        :param step: see :func:`holds.is_obsolete`.
        """
        checksum = packing.checksum(ranks)
        self._set_intent(
            phase,
            version=version,
            step=step,
            full_map=packing.pack_map(ranks),
            checksum=checksum,
        )
        base = tuple(statuses[n].experts for n in sorted(statuses))
        try:
            moves = packing.pack_moves(base, ranks)
            is_exact = packing.apply_moves(base, moves) == ranks
        except ValueError as exc:
            decisions.log('moves_not_possible', reason=str(exc))
            return
        if is_exact:
            moves_only = copy.copy(self._intent)
            moves_only.full_map = b''
            moves_only.moves = moves
            moves_only.base_version = next(iter(statuses.values())).map_version
            self._moves_only = moves_only

    def _next_version(self, statuses: Mapping[int, Status]) -> int:
        """Return a version above those of earlier terms and those reported.

        An order of an earlier coordinator may be executed late, and no rank
        may have reported it. The time of day is of no use, since it may jump.
        """
        highest = max(
            max(
                s.prepared,
                s.map_version,
                s.armed_version,
                s.refused_version,
                s.ordered_version,
            )
            for s in statuses.values()
        )
        highest = max(self._highest_version, highest)
        block = max(self._intent.term, highest // VERSION_STRIDE + 1)
        self._highest_version = block * VERSION_STRIDE + self._rng.randrange(
            VERSION_STRIDE
        )
        return self._highest_version

    async def _resolve(self, statuses: Mapping[int, Status]) -> None:
        """End a switch that a previous coordinator left unfinished.

        :param statuses: statuses of all ranks.
        """
        rows = statuses.values()
        begun = max(s.step for s in rows)
        step = holds.step_to_undo(rows, begun)
        decisions.log(
            'switch_resolved',
            group=self._intent.group,
            term=self._intent.term,
            armed=sorted(
                (s.rank, s.armed_step)
                for s in rows
                if s.armed_version != messages.UNSET
            ),
            held=sorted(
                (s.rank, s.held_step)
                for s in rows
                if s.held_step != messages.UNSET
            ),
            begun=begun,
            step=step,
        )
        if step is not None:
            # The step may begin before it is held, and is then over.
            if await self._hold_at_two_ranks(step):
                await self._abort(step)
        elif any(map(rank_statuses.is_unsettled, rows)):
            # The step has begun already: some of the reports are from before
            # the switch and others from after it.
            await self._wait_for_ranks(
                rank_statuses.is_settled, RESOLVE_TIMEOUT_S
            )
        elif any(map(rank_statuses.may_be_armed, rows)):
            await self._abort()
        else:
            self._steps.settle()

    async def _abort(self, step: int = messages.UNSET) -> None:
        """Disarm all ranks, invalidate delayed orders and release the group.

        Ranks are disarmed one by one, so the step must not begin before the
        last one is disarmed. The caller has it held where no release may be in
        flight.

        :param step: step at which ranks may be armed; unset if none is.
        """
        while True:
            statuses = self._statuses()
            if len(statuses) < self._own_status().size:
                # A rank that does not answer may still be armed, so that a
                # release would be unsafe.
                await self._wait_for_ranks(
                    rank_statuses.obeys_term, RESOLVE_TIMEOUT_S
                )
                continue
            if not all(map(rank_statuses.has_experts, statuses.values())):
                # Ranks report their experts to a new coordinator with a delay.
                await self._wait_for_ranks(
                    rank_statuses.has_experts, RESOLVE_TIMEOUT_S
                )
                continue
            version = self._next_version(statuses)
            current = tuple(statuses[n].experts for n in sorted(statuses))
            self._set_map_intent(
                model.Phase.ABORT, version, current, statuses, step
            )
            if await self._wait_for_ranks(
                lambda s, v=version: (
                    s.prepared == v and s.armed_version == messages.UNSET
                ),
                RESOLVE_TIMEOUT_S,
                lambda s, v=version: s.refused_version == v,
            ):
                break
        while held := {
            s.held_step
            for s in self._statuses().values()
            if s.held_step != messages.UNSET
        }:
            last = max(held)
            self._set_intent(model.Phase.RELEASE, step=last)
            if not await self._wait_for_ranks(
                lambda s, last=last: not messages.UNSET < s.held_step <= last,
                RESOLVE_TIMEOUT_S,
            ):
                decisions.log('release_unconfirmed', step=last)
        self._steps.settle()

    async def _hold_at_two_ranks(self, step: int) -> bool:
        """Hold a step although a release of it may be in flight to a rank.

        :return: whether the holds are in place.
        """
        own = self._own_status()
        if not await self._hold(step, own.rank):
            return False
        if own.size == 1:
            return True
        second = holds.choose_second_holder(
            self._statuses(),
            self._view.recent_statuses(own).keys(),
            own.rank,
            step,
            self._rng,
        )
        return second is not None and await self._hold(step, second)

    async def _hold(self, step: int, holder: int) -> bool:
        """Hold a step at one rank; return whether the hold is in place."""
        self._set_intent(model.Phase.HOLD, step=step, holder=holder)
        await self._wait_for_ranks(
            lambda s: (
                s.rank != holder or s.held_step == step or s.step >= step
            ),
            HOLD_TIMEOUT_S,
        )
        status = self._statuses().get(holder)
        return status is not None and status.held_step == step

    async def _rebalance(self, statuses: Mapping[int, Status]) -> None:
        """Plan a new map and switch to it if the plan has any moves."""
        if len(statuses) <= self._max_inline_plan_ranks:
            plan = self._plan(statuses)
        else:
            plan = await self._plan_in_thread(statuses)
        if plan is None:
            return
        version = self._next_version(statuses)
        ranks = tuple(
            packing.pack_rank(list(map(sorted, layers)))
            for layers in placement.experts_by_rank(plan.placement)
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        self._set_map_intent(
            model.Phase.PREPARE,
            version,
            ranks,
            statuses,
            self._steps.obsolete_step,
        )
        is_prepared = await self._wait_for_ranks(
            lambda s: s.prepared == version,
            PREPARE_TIMEOUT_S,
            lambda s: s.refused_version == version,
            lambda s: version not in (s.ordered_version, s.prepared),
        )
        prepared_s = loop.time()
        if is_prepared:
            await self._switch(version)
        self._stand_by()
        decisions.log(
            'switch',
            group=self._intent.group,
            version=version,
            skew=round(self.skew, 3),
            choices=self._activations,
            moves=plan.moves,
            is_prepared=is_prepared,
            prepare_s=round(prepared_s - started_s, 3),
            switch_s=round(loop.time() - prepared_s, 3),
        )

    async def _plan_in_thread(
        self, statuses: Mapping[int, Status]
    ) -> planner.Plan | None:
        """Plan a large map without delaying messages.

        The intent is repeated meanwhile, as a sign of life.

        :raises CoordinationLost: this agent may no longer coordinate.
        """
        planning = asyncio.ensure_future(
            self._run_in_thread(self._plan, statuses)
        )
        try:
            while not planning.done():
                self._publisher.publish(self._intent, ())
                await asyncio.wait(
                    {planning}, timeout=self._publisher.resend_period_s(0)
                )
                self._ensure_coordinator()
            return planning.result()
        finally:
            planning.cancel()

    async def _switch(self, version: int) -> None:
        loop = asyncio.get_running_loop()
        own = self._own_status()
        pass_s = self._pass_times.pass_s(loop.time())
        step = self._steps.use_step(
            own.step, self._arming_times.lookahead_steps(pass_s)
        )
        if not await self._hold(step, own.rank):
            # The order may still be executed; ranks then release the step.
            self._steps.settle()
            return
        started_s = loop.time()
        self._set_intent(model.Phase.ARM, version=version, step=step)
        is_armed = await self._wait_for_ranks(
            lambda s: (s.armed_version, s.armed_step) == (version, step),
            ARM_TIMEOUT_S,
        )
        # If the process was suspended, more than the time-out has elapsed.
        took_s = min(loop.time() - started_s, ARM_TIMEOUT_S)
        self._arming_times.add(took_s)
        if not is_armed:
            # No release has been sent, so that the hold is safe.
            await self._abort(step)
            return
        self._set_intent(model.Phase.RELEASE, step=step, holder=own.rank)
        # An idle group begins no step, so this may take any time.
        while not await self._wait_for_ranks(
            lambda s: s.map_version == version,
            RESOLVE_TIMEOUT_S,
            lags=lambda s: messages.UNSET < s.held_step < step,
        ):
            if any(
                version not in (s.map_version, s.armed_version)
                or (s.held_step == step and s.rank != own.rank)
                for s in self._statuses().values()
            ):
                # Another coordinator has begun to undo the switch.
                self._steps.reopen()
                return
        self._steps.settle()

    def _plan(self, statuses: Mapping[int, Status]) -> planner.Plan | None:
        limits = self._limits()
        if limits is None:
            return None
        try:
            rows = [
                packing.unpack_rank(statuses[number].experts)
                for number in sorted(statuses)
            ]
        except ValueError as exc:
            decisions.log('status_unreadable', reason=str(exc))
            return None
        totals = demand.split_by_layer(self._demand_counts(), limits.layers)
        versions = {status.map_version for status in statuses.values()}
        if (
            totals is None
            or len(versions) > 1
            or any(len(row) != limits.layers for row in rows)
        ):
            return None
        current = placement.from_experts(rows, limits.places)
        self._activations = round(sum(map(sum, totals)))
        self.skew = (
            sum(
                layer.skew(row)
                for layer, row in zip(current.layers, totals, strict=True)
            )
            / limits.layers
        )
        pass_s = self._pass_times.pass_s(time.monotonic())
        if pass_time.is_fast_enough(pass_s, self.skew, limits.gap_s):
            return None
        plan = self._planner.plan(
            current,
            observation.Observation(tuple(totals), (None,) * len(rows)),
            time.monotonic(),
        )
        return plan if plan.moves else None
