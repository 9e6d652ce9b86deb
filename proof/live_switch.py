"""Specification of the map switch of ``experts/live`` for the model checker.

Two ranks have prepared version 1. Coordinator 1, at rank 0, holds a step at
its own rank, has both ranks armed for that step and releases it. It may give
up and begin another switch, at the next step. Coordinator 2 may take over at
any time and at either rank. At rank 0 it is the same agent again, or one that
has started anew. At rank 1 it gets the promise of the other agent or sends
orders to that rank's engine directly. In the latter case the agent and
coordinator 1 keep running, which models a coordinator that is frozen and
resumes later. Coordinator 2 undoes what it finds; then it begins a switch of
its own.

An order that was sent may be executed at any later time, any number of times,
or never. This covers lost answers and orders that are executed seconds later,
after newer ones. Statuses are read one rank at a time and may be outdated when
a coordinator acts on them.

At any time orders may become reliable for good: those on their way are lost,
and later ones are executed at once. Only the last coordinator acts from then
on. That a pass begins after each such state is checked as well.

Transitions and the code that they model:

- ``hold``, ``arm``, ``release``, ``disarm``, ``prepare``: orders given by
  ``rank.RankController``; ``do ...``: the engine executes one
- ``obsolete``: ``rank.RankController`` releases a hold that no coordinator
  relies on
- ``armed``: a status that ``Coordinator._switch`` counts
- ``claim``, ``drive``: ``Coordinator._coordinate`` and
  ``_control_missing_ranks``
- ``read``, ``resolve``: ``Coordinator._statuses`` and ``_resolve``
- ``cleared``: a status that ``Coordinator._undo`` counts
- ``step``: the engines begin the next step, in lock-step
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator
from typing import Any

import minicheck

from . import verdicts

RANKS = (0, 1)
LAST_STEP = 2
OLD, NEW = 0, 1
UNDO_VERSIONS = {(1, 1): 3, (1, 2): 5, (2, 1): 6, (2, 2): 8}
"""Version that invalidates delayed orders, by coordinator and step."""

SECOND_SWITCH_VERSIONS = {1: 4, 2: 7}
"""Version of a coordinator's switch to the second map, by coordinator."""

ONE_MAP = 'one map in each step'
PASSES_BEGIN = 'passes begin once orders are answered'

# Phases of a coordinator; the first three are those of coordinator 2.
(
    WAITING,
    READING,
    HOLDING_TO_UNDO,
    PREPARING,
    HOLDING,
    ARMING,
    RELEASING,
    UNDOING,
    FREEING,
    IDLE,
) = range(10)


@dataclasses.dataclass(frozen=True)
class Variant:
    """Variant of the protocol; the defaults are those of the code.

    :ivar switches_of_first: number of switches that coordinator 1 may begin.
        If it begins two, coordinator 2 begins none.
    :ivar hold_before_arming: the step is held before ranks are armed.
    :ivar use_terms: ranks obey no lower term than the one they promised.
    :ivar holds_to_undo: number of ranks, its own first, at which coordinator 2
        holds the step before it undoes a switch.
    :ivar complete_armed: coordinator 2 completes a switch that all ranks have
        armed instead of undoing it.
    :ivar invalidate_orders: undoing a switch prepares a new version on each
        rank.
    :ivar invalidate_first: coordinator 2 prepares a new version on each rank
        that has prepared one, also if it finds no switch to undo.
    :ivar use_new_steps: a switch is made at a step above those of all earlier
        ones, not at the next one to begin.
    :ivar release_obsolete: ranks release holds of steps below that of the
        current switch, or of steps up to that of the last one.
    :ivar disarm_later: a coordinator disarms versions later than its own.
    :ivar accept_earlier: a hold of an earlier step counts as that of the step
        in question.
    """

    switches_of_first: int = 1
    hold_before_arming: bool = True
    use_terms: bool = True
    holds_to_undo: int = 2
    complete_armed: bool = False
    invalidate_orders: bool = True
    invalidate_first: bool = True
    use_new_steps: bool = True
    release_obsolete: bool = True
    disarm_later: bool = False
    accept_earlier: bool = False


@dataclasses.dataclass(frozen=True)
class Coordinator(verdicts.FrozenState):
    """State of a coordinator.

    :ivar rank: its own rank.
    :ivar phase: what it does.
    :ivar version: version that it switches to.
    :ivar step: step of its switch, or of the one that it undoes; 0 if it
        undoes none.
    :ivar confirmed: ranks whose compliance with the phase it has seen.
    :ivar obsolete_step: last step of which no hold is relied on.
    """

    rank: int = 0
    phase: int = WAITING
    version: int = 0
    step: int = 0
    confirmed: frozenset = frozenset()
    obsolete_step: int = 0


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """State of engines, agents and coordinators.

    :ivar current: version in effect, by rank.
    :ivar prepared: version that can be armed, by rank.
    :ivar armed: (version, step) that is armed, or None, by rank.
    :ivar held: step that the engine holds, 0 for none, by rank.
    :ivar begun: last step that has begun.
    :ivar promised: term that the agent obeys, by rank.
    :ivar sent: orders that may be executed: (order, rank, arguments).
    :ivar is_reliable: whether orders are executed at once, for good.
    :ivar first: coordinator 1.
    :ivar second: coordinator 2.
    :ivar reachable: ranks that obey coordinator 2, through their agent or
        directly.
    :ivar read: statuses that coordinator 2 has read, by rank: (armed, held,
        whether a version is prepared that is not in effect), or None.
    """

    current: tuple[int, ...] = (OLD, OLD)
    prepared: tuple[int, ...] = (NEW, NEW)
    armed: tuple = (None, None)
    held: tuple[int, ...] = (0, 0)
    begun: int = 0
    promised: tuple[int, ...] = (1, 1)
    sent: frozenset = frozenset()
    is_reliable: bool = False
    first: Coordinator = Coordinator()
    second: Coordinator = Coordinator()
    reachable: frozenset = frozenset()
    read: tuple = (None, None)

    def order(self, name: str, rank: int, *arguments: int) -> State:
        """Return the state after an order was sent."""
        order = (name, rank, *arguments)
        if self.is_reliable:
            return _execute(self, order)
        return self.replace(sent=self.sent | {order})

    def with_coordinator(self, number: int, **changes: Any) -> State:
        """Return the state with changes to a coordinator."""
        field = 'first' if number == 1 else 'second'
        after = getattr(self, field).replace(**changes)
        return self.replace(**{field: after})


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    phase = HOLDING if variant.hold_before_arming else ARMING
    initial = State(first=Coordinator(phase=phase, version=NEW, step=1))
    return verdicts.protocol(
        'live switch',
        initial,
        lambda state: (
            (label, _without_effectless_orders(after))
            for label, after in _transitions(variant, state)
        ),
        ONE_MAP,
        lambda state: len(set(state.current)) == 1,
        is_goal=lambda state: state.begun == LAST_STEP,
    )


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    yield from _engine_transitions(state)
    if not state.is_reliable:
        yield (
            'orders are reliable',
            state.replace(is_reliable=True, sent=frozenset()),
        )
    has_second = state.second.phase != WAITING
    if not has_second or not state.is_reliable:
        obeying = frozenset(
            rank
            for rank in RANKS
            if state.promised[rank] == 1 or not variant.use_terms
        )
        if 0 in obeying:
            yield from _coordinator(variant, state, 1, obeying)
    if not has_second and not state.is_reliable:
        for rank in RANKS:
            yield f'take over at {rank}', _take_over(state, rank)
    if state.second.phase == READING:
        yield from _read(variant, state)
    elif has_second:
        yield from _coordinator(variant, state, 2, state.reachable)


def _engine_transitions(state: State) -> Iterator[tuple[str, State]]:
    for order in state.sent:
        yield f'do {order}', _execute(state, order)
    step = state.begun + 1
    if step <= LAST_STEP and step not in state.held:
        takes_effect = [
            armed is not None and armed[1] <= step for armed in state.armed
        ]
        yield (
            f'step {step}',
            state.replace(
                begun=step,
                current=tuple(
                    state.armed[rank][0]
                    if takes_effect[rank]
                    else state.current[rank]
                    for rank in RANKS
                ),
                armed=tuple(
                    None if takes_effect[rank] else state.armed[rank]
                    for rank in RANKS
                ),
            ),
        )


def _execute(state: State, order: tuple) -> State:
    """Return the state after an engine has executed or refused an order."""
    name, rank, *arguments = order
    held, armed = state.held[rank], state.armed[rank]
    if name == 'hold':
        (step,) = arguments
        if state.begun < step and not held:
            return _with(state, 'held', rank, step)
    elif name == 'release':
        (step,) = arguments
        if held == step:
            return _with(state, 'held', rank, 0)
    elif name == 'arm':
        version, step = arguments
        if state.begun < step and state.prepared[rank] == version:
            return _with(state, 'armed', rank, (version, step))
    elif name == 'disarm':
        if armed and armed[0] == arguments[0]:
            return _with(state, 'armed', rank, None)
    elif armed is None and state.prepared[rank] < arguments[0]:
        return _with(state, 'prepared', rank, arguments[0])
    return state


def _with(state: State, field: str, rank: int, value: object) -> State:
    values = verdicts.replace_item(getattr(state, field), rank, value)
    return state.replace(**{field: values})


def _without_effectless_orders(state: State) -> State:
    """Return the state without orders that engines will always refuse."""
    sent = frozenset(
        order for order in state.sent if _may_have_effect(state, order)
    )
    return state if sent == state.sent else state.replace(sent=sent)


def _may_have_effect(state: State, order: tuple) -> bool:
    name, rank, *arguments = order
    if name in ('hold', 'release'):
        return arguments[0] > state.begun
    prepared = state.prepared[rank]
    if name == 'arm':
        return arguments[1] > state.begun and arguments[0] >= prepared
    if name == 'disarm':
        is_armed = state.armed[rank] and state.armed[rank][0] == arguments[0]
        may_be_armed = (
            arguments[0] >= prepared and state.current[rank] != arguments[0]
        )
        return bool(is_armed or may_be_armed)
    return prepared < arguments[0]


def _coordinator(
    variant: Variant, state: State, number: int, ranks: frozenset
) -> Iterator[tuple[str, State]]:
    """Yield transitions of a coordinator and of the ranks that obey it."""
    own = state.first if number == 1 else state.second
    if variant.release_obsolete:
        yield from _release_obsolete(state, own, ranks)
    if own.phase == HOLDING_TO_UNDO:
        yield from _hold_to_undo(variant, state)
    elif own.phase == PREPARING:
        yield from _prepare(variant, state, number, ranks)
    elif own.phase == HOLDING:
        yield from _hold(variant, state, number)
    elif own.phase == ARMING:
        yield from _arm(variant, state, number, ranks)
    elif own.phase == RELEASING:
        if state.held[own.rank] == own.step:
            yield 'release', state.order('release', own.rank, own.step)
        if all(version == own.version for version in state.current):
            yield 'done', _next_switch(variant, state, number, own.step)
    elif own.phase == UNDOING:
        yield from _undo(variant, state, number, ranks)
    elif own.phase == FREEING:
        held = {
            rank for rank in ranks if 0 < state.held[rank] <= own.obsolete_step
        }
        for rank in held:
            yield (
                f'free {rank}',
                state.order('release', rank, state.held[rank]),
            )
        if not held:
            yield (
                'freed',
                _next_switch(variant, state, number, own.obsolete_step),
            )


def _release_obsolete(
    state: State, own: Coordinator, ranks: frozenset
) -> Iterator[tuple[str, State]]:
    """Yield releases of holds that neither coordinator relies on."""
    is_switching = own.phase in (
        HOLDING_TO_UNDO,
        HOLDING,
        ARMING,
        RELEASING,
        UNDOING,
    )
    limit = max(own.obsolete_step, own.step - 1 if is_switching else 0)
    for rank in ranks:
        if 0 < state.held[rank] <= limit:
            yield (
                f'obsolete at {rank}',
                state.order('release', rank, state.held[rank]),
            )


def _next_switch(
    variant: Variant, state: State, number: int, last_step: int
) -> State:
    """Return the state in which a coordinator may begin its next switch."""
    is_last = (
        state.begun == LAST_STEP
        or last_step == LAST_STEP
        or (number == 1) != (variant.switches_of_first == 2)
    )
    return state.with_coordinator(
        number,
        phase=IDLE if is_last else PREPARING,
        version=0 if is_last else SECOND_SWITCH_VERSIONS[number],
        step=0,
        confirmed=frozenset(),
        obsolete_step=last_step,
    )


def _prepare(
    variant: Variant, state: State, number: int, ranks: frozenset
) -> Iterator[tuple[str, State]]:
    own = state.first if number == 1 else state.second
    for rank in ranks:
        if state.prepared[rank] < own.version:
            yield (
                f'prepare {rank}',
                state.order('prepare', rank, own.version),
            )
    if len(ranks) == len(RANKS) and set(state.prepared) == {own.version}:
        step = LAST_STEP if variant.use_new_steps else state.begun + 1
        if step <= LAST_STEP:
            yield (
                'prepared',
                state.with_coordinator(number, phase=HOLDING, step=step),
            )


def _hold(
    variant: Variant, state: State, number: int
) -> Iterator[tuple[str, State]]:
    own = state.first if number == 1 else state.second
    yield 'hold', state.order('hold', own.rank, own.step)
    if _is_held(variant, state, own.rank, own.step):
        yield 'held', state.with_coordinator(number, phase=ARMING)
    # The hold may still be executed.
    freeing = state.with_coordinator(
        number,
        phase=FREEING,
        step=0,
        obsolete_step=max(own.step, own.obsolete_step),
    )
    yield 'give up the hold', freeing


def _is_held(variant: Variant, state: State, rank: int, step: int) -> bool:
    held = state.held[rank]
    return held == step or (variant.accept_earlier and 0 < held < step)


def _arm(
    variant: Variant, state: State, number: int, ranks: frozenset
) -> Iterator[tuple[str, State]]:
    own = state.first if number == 1 else state.second
    for rank in ranks:
        yield f'arm {rank}', state.order('arm', rank, own.version, own.step)
        if state.armed[rank] == (own.version, own.step):
            confirmed = own.confirmed | {rank}
            yield (
                f'armed {rank}',
                state.with_coordinator(number, confirmed=confirmed),
            )
    if len(own.confirmed) == len(RANKS):
        yield (
            'all armed',
            state.with_coordinator(
                number, phase=RELEASING, confirmed=frozenset()
            ),
        )
    elif variant.hold_before_arming:
        yield (
            'give up',
            state.with_coordinator(
                number, phase=UNDOING, confirmed=frozenset()
            ),
        )


def _undo(
    variant: Variant, state: State, number: int, ranks: frozenset
) -> Iterator[tuple[str, State]]:
    """Disarm ranks and invalidate delayed orders."""
    own = state.first if number == 1 else state.second
    version = UNDO_VERSIONS[number, max(own.step, own.obsolete_step, 1)]
    for rank in ranks:
        armed, prepared = state.armed[rank], state.prepared[rank]
        if armed:
            if variant.disarm_later or armed[0] < version:
                yield f'disarm {rank}', state.order('disarm', rank, armed[0])
        elif variant.invalidate_orders and prepared < version:
            yield f'prepare {rank}', state.order('prepare', rank, version)
        elif not variant.invalidate_orders or prepared == version:
            yield (
                f'cleared {rank} for {number}',
                state.with_coordinator(
                    number, confirmed=own.confirmed | {rank}
                ),
            )
    if len(own.confirmed) == len(RANKS):
        yield (
            'undone',
            state.with_coordinator(
                number,
                phase=FREEING,
                step=0,
                confirmed=frozenset(),
                obsolete_step=max(
                    own.step,
                    own.obsolete_step,
                    _last_used_step(variant, number),
                ),
            ),
        )


def _last_used_step(variant: Variant, number: int) -> int:
    """Return the last step that an earlier coordinator may have used."""
    return variant.switches_of_first if number == 2 else 0


def _take_over(state: State, rank: int) -> State:
    after = _with(state, 'promised', rank, 2)
    return after.replace(
        second=Coordinator(rank=rank, phase=READING),
        reachable=frozenset({rank}),
    )


def _read(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Yield transitions of coordinator 2 until it has decided."""
    for rank in set(RANKS) - state.reachable:
        reachable = frozenset(RANKS)
        yield (
            f'claim {rank}',
            _with(state, 'promised', rank, 2).replace(reachable=reachable),
        )
        yield f'drive {rank}', state.replace(reachable=reachable)
    for rank in state.reachable:
        seen = (
            state.armed[rank],
            state.held[rank],
            state.prepared[rank] > state.current[rank],
        )
        yield f'read {rank}', _with(state, 'read', rank, seen)
    if None not in state.read:
        yield 'resolve', _resolve(variant, state)


def _resolve(variant: Variant, state: State) -> State:
    """Return the state after coordinator 2 has decided what to undo."""
    armed_steps = {armed[1] for armed, _, _ in state.read if armed}
    held_steps = {held for _, held, _ in state.read if held}
    after = state.replace(read=(None, None))
    if not armed_steps and not held_steps:
        if variant.invalidate_first and any(row[2] for row in state.read):
            return after.with_coordinator(2, phase=UNDOING)
        last_step = _last_used_step(variant, 2)
        return _next_switch(variant, after, 2, last_step)
    step = min(armed_steps) if armed_steps else max(held_steps)
    if step <= state.begun:
        # Some of the reports are from before the step began; they are read
        # again.
        return after
    is_complete = variant.complete_armed and all(
        armed == (NEW, 1) for armed, _, _ in state.read
    )
    if is_complete:
        return after.with_coordinator(
            2, phase=FREEING, obsolete_step=LAST_STEP
        )
    return after.with_coordinator(
        2,
        phase=HOLDING_TO_UNDO if variant.holds_to_undo else UNDOING,
        step=step,
    )


def _hold_to_undo(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    """Hold the step at the own rank, then at another one."""
    own = state.second
    if state.begun >= own.step:
        yield (
            'too late',
            state.with_coordinator(
                2, phase=READING, step=0, confirmed=frozenset()
            ),
        )
        return
    holders = (own.rank, 1 - own.rank)[: variant.holds_to_undo]
    if len(own.confirmed) == len(holders):
        yield (
            'held to undo',
            state.with_coordinator(2, phase=UNDOING, confirmed=frozenset()),
        )
        return
    rank = holders[len(own.confirmed)]
    yield f'hold {rank}', state.order('hold', rank, own.step)
    if _is_held(variant, state, rank, own.step):
        yield (
            f'held {rank}',
            state.with_coordinator(2, confirmed=own.confirmed | {rank}),
        )
    elif state.held[rank]:
        yield (
            f'make room at {rank}',
            state.order('release', rank, state.held[rank]),
        )


CHECKED = (Variant(), Variant(switches_of_first=2))
"""Variants of the code, for which both properties have to be true in all
reachable states."""

FORMER = Variant(
    holds_to_undo=1,
    invalidate_first=False,
    use_new_steps=False,
    release_obsolete=False,
    accept_earlier=True,
)
"""The protocol before its holds had rules: unsafe, and it gets stuck."""

NAIVE = (
    FORMER,
    Variant(hold_before_arming=False),
    Variant(use_terms=False),
    Variant(holds_to_undo=0),
    Variant(holds_to_undo=1),
    Variant(complete_armed=True),
    Variant(invalidate_orders=False),
    Variant(invalidate_first=False),
    Variant(use_new_steps=False),
    Variant(disarm_later=True),
    Variant(accept_earlier=True),
)
"""Variants without one of the safeguards, which the checker has to refute."""

STUCK = (FORMER, Variant(release_obsolete=False))
"""Variants in which a group may stay held for good."""


def check(variant: Variant) -> dict:
    """Return the verdict on 'one map in each step'."""
    return verdicts.check(protocol(variant), ONE_MAP)


def check_progress(variant: Variant) -> dict:
    """Return the verdict on 'passes begin once orders are answered'."""
    return verdicts.check_progress(protocol(variant))


def main() -> int:
    """Print all verdicts; return 1 if any differs from the expected one."""
    print(ONE_MAP)
    is_unsafe = verdicts.report(check, CHECKED, NAIVE)
    print(PASSES_BEGIN)
    return is_unsafe | verdicts.report(check_progress, CHECKED, STUCK)


if __name__ == '__main__':
    sys.exit(main())
