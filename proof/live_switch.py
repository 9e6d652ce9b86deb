"""Specification of the map switch of ``experts/live`` for the model checker.

Two ranks have prepared version 1. Coordinator 1, at rank 0, holds a step at
its own rank, has both ranks armed for that step and releases it. Coordinator
2, at rank 1, may take over at any time. It gets the promise of the other agent
or sends orders to that rank's engine directly. In the latter case the agent
and coordinator 1 keep running, which models a coordinator that is frozen and
resumes later. Coordinator 2 undoes the switch. Before, it holds the step at
its own rank, because a release by coordinator 1 may be in flight.

An order that was sent may be executed at any later time, any number of times,
or never. This covers lost answers and orders that are executed seconds later,
after newer ones. Statuses are read one rank at a time and may be outdated when
a coordinator acts on them.

Transitions and the code that they model:

- ``hold``, ``arm``, ``release``, ``disarm``, ``prepare``: orders given by
  ``rank.RankController``; ``do ...``: the engine executes one
- ``armed``: a status that ``Coordinator._switch`` counts
- ``claim``, ``drive``: ``Coordinator._coordinate`` and
  ``_control_missing_ranks``
- ``read``, ``resolve``: ``Coordinator._statuses`` and ``_resolve``
- ``cleared``: a status that ``Coordinator._abort`` counts
- ``step``: the engines begin the step, in lock-step
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator

import minicheck

from . import verdicts

RANKS = (0, 1)
OLD, NEW = 0, 1
ABORT_VERSIONS = {1: 3, 2: 4}
"""Version that each coordinator prepares to invalidate delayed orders."""

# Phases of coordinator 1, and below those of coordinator 2.
HOLDING, ARMING, RELEASING, ABORTING = range(4)
WAITING, READING, HOLDING_AT_OWN_RANK, UNDOING, NOTHING_TO_UNDO = range(5)


@dataclasses.dataclass(frozen=True)
class Variant:
    """Variant of the protocol; the defaults are those of the code.

    :ivar hold_before_arming: the step is held before ranks are armed.
    :ivar use_terms: ranks obey no lower term than the one they promised.
    :ivar hold_before_undoing: coordinator 2 holds the step at its own rank
        before it undoes a switch.
    :ivar complete_armed: coordinator 2 completes a switch that all ranks have
        armed instead of undoing it.
    :ivar invalidate_orders: undoing a switch prepares a new version on each
        rank.
    """

    hold_before_arming: bool = True
    use_terms: bool = True
    hold_before_undoing: bool = True
    complete_armed: bool = False
    invalidate_orders: bool = True


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """State of engines, agents and coordinators.

    :ivar current: version in effect, by rank.
    :ivar prepared: version that can be armed, by rank.
    :ivar armed: version armed for the step, 0 for none, by rank.
    :ivar held: whether the engine holds the step, by rank.
    :ivar begun: whether the step has begun.
    :ivar promised: term that the agent obeys, by rank.
    :ivar sent: orders that may be executed: (order, rank, version).
    :ivar first_phase: phase of coordinator 1.
    :ivar first_confirmed: ranks whose compliance coordinator 1 has seen.
    :ivar second_phase: phase of coordinator 2.
    :ivar second_reachable: ranks that obey coordinator 2, through their agent
        or directly.
    :ivar second_read: statuses that coordinator 2 has read, by rank: (armed,
        held), or None.
    :ivar second_confirmed: ranks that coordinator 2 has seen disarmed.
    """

    current: tuple[int, ...] = (OLD, OLD)
    prepared: tuple[int, ...] = (NEW, NEW)
    armed: tuple[int, ...] = (0, 0)
    held: tuple[bool, ...] = (False, False)
    begun: bool = False
    promised: tuple[int, ...] = (1, 1)
    sent: frozenset = frozenset()
    first_phase: int = HOLDING
    first_confirmed: frozenset = frozenset()
    second_phase: int = WAITING
    second_reachable: frozenset = frozenset()
    second_read: tuple = (None, None)
    second_confirmed: frozenset = frozenset()

    def order(self, name: str, rank: int, version: int = 0) -> State:
        """Return the state after an order was sent."""
        return self.replace(sent=self.sent | {(name, rank, version)})


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    first_phase = HOLDING if variant.hold_before_arming else ARMING
    return verdicts.protocol(
        'live switch',
        State(first_phase=first_phase),
        lambda state: _transitions(variant, state),
        'one map in each step',
        _has_one_map,
    )


def _has_one_map(state: State) -> bool:
    return len(set(state.current)) == 1


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    yield from _engine_transitions(state)
    yield from _coordinator_1(variant, state)
    yield from _coordinator_2_takes_over(variant, state)
    if state.second_phase in (HOLDING_AT_OWN_RANK, UNDOING):
        yield from _coordinator_2(variant, state)


def _engine_transitions(state: State) -> Iterator[tuple[str, State]]:
    for name, rank, version in state.sent:
        after = _execute(state, name, rank, version)
        yield f'do {name} {version} at {rank}', after
    if not state.begun and not any(state.held):
        current = tuple(
            armed or before
            for armed, before in zip(state.armed, state.current, strict=True)
        )
        yield 'step', state.replace(begun=True, current=current, armed=(0, 0))


def _execute(state: State, name: str, rank: int, version: int) -> State:
    armed, prepared = state.armed[rank], state.prepared[rank]
    if name == 'hold' and not state.begun:
        return state.replace(
            held=verdicts.replace_item(state.held, rank, True)
        )
    if name == 'release':
        return state.replace(
            held=verdicts.replace_item(state.held, rank, False)
        )
    if name == 'arm' and not state.begun and prepared == version:
        return state.replace(
            armed=verdicts.replace_item(state.armed, rank, version)
        )
    if name == 'disarm' and armed == version:
        return state.replace(armed=verdicts.replace_item(state.armed, rank, 0))
    if name == 'prepare' and not armed and version > prepared:
        return state.replace(
            prepared=verdicts.replace_item(state.prepared, rank, version)
        )
    return state


def _coordinator_1(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    """Yield transitions of coordinator 1 and the agents that obey it."""
    obeying = [
        rank
        for rank in RANKS
        if state.promised[rank] == 1 or not variant.use_terms
    ]
    if 0 not in obeying:
        return
    if state.first_phase == HOLDING:
        yield 'hold', state.order('hold', 0)
        if state.held[0]:
            yield 'held', state.replace(first_phase=ARMING)
    elif state.first_phase == ARMING:
        for rank in obeying:
            yield f'arm {rank}', state.order('arm', rank, NEW)
            if state.armed[rank] == NEW:
                confirmed = state.first_confirmed | {rank}
                yield f'armed {rank}', state.replace(first_confirmed=confirmed)
        if len(state.first_confirmed) == len(RANKS):
            yield 'all armed', state.replace(first_phase=RELEASING)
        elif variant.hold_before_arming:
            aborting = state.replace(
                first_phase=ABORTING, first_confirmed=frozenset()
            )
            yield 'give up', aborting
    elif state.first_phase == RELEASING:
        yield 'release', state.order('release', 0)
    else:
        yield from _undo_switch(
            variant, state, 1, obeying, state.first_confirmed
        )
        if len(state.first_confirmed) == len(RANKS):
            yield 'release', state.order('release', 0)


def _undo_switch(
    variant: Variant,
    state: State,
    coordinator: int,
    ranks: list[int],
    confirmed: frozenset,
) -> Iterator[tuple[str, State]]:
    """Disarm ranks and invalidate delayed orders."""
    version = ABORT_VERSIONS[coordinator]
    for rank in ranks:
        armed = state.armed[rank]
        if armed:
            yield f'disarm {rank}', state.order('disarm', rank, armed)
        elif variant.invalidate_orders and state.prepared[rank] < version:
            yield f'prepare {rank}', state.order('prepare', rank, version)
        elif not variant.invalidate_orders or state.prepared[rank] == version:
            field = (
                'first_confirmed' if coordinator == 1 else 'second_confirmed'
            )
            after = state.replace(**{field: confirmed | {rank}})
            yield f'cleared {rank} for {coordinator}', after


def _coordinator_2_takes_over(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    """Yield transitions of coordinator 2 until it has decided."""
    if state.second_phase == WAITING:
        after = state.replace(
            second_phase=READING,
            promised=verdicts.replace_item(state.promised, 1, 2),
            second_reachable=frozenset({1}),
        )
        yield 'take over', after
    if state.second_phase != READING:
        return
    if 0 not in state.second_reachable:
        reach = frozenset(RANKS)
        promised = verdicts.replace_item(state.promised, 0, 2)
        yield (
            'claim 0',
            state.replace(promised=promised, second_reachable=reach),
        )
        yield 'drive 0', state.replace(second_reachable=reach)
    for rank in state.second_reachable:
        seen = (state.armed[rank], state.held[rank])
        read = verdicts.replace_item(state.second_read, rank, seen)
        yield f'read {rank}', state.replace(second_read=read)
    if None not in state.second_read and len(state.second_reachable) == 2:
        yield 'resolve', state.replace(second_phase=_decide(variant, state))


def _decide(variant: Variant, state: State) -> int:
    """Return the next phase; holds are released only at the end of UNDOING."""
    armed = {armed for armed, _ in state.second_read}
    is_held = any(held for _, held in state.second_read)
    if armed == {0} and not is_held:
        return NOTHING_TO_UNDO
    return HOLDING_AT_OWN_RANK if variant.hold_before_undoing else UNDOING


def _coordinator_2(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    """Yield transitions of coordinator 2 after its decision."""
    armed = {armed for armed, _ in state.second_read}
    if variant.complete_armed and armed == {NEW}:
        yield from _release_held(state)
    elif state.second_phase == HOLDING_AT_OWN_RANK:
        yield 'hold 1', state.order('hold', 1)
        if state.held[1]:
            yield 'held 1', state.replace(second_phase=UNDOING)
        if state.begun:
            yield 'too late', state.replace(second_phase=UNDOING)
    else:
        yield from _undo_switch(
            variant, state, 2, list(RANKS), state.second_confirmed
        )
        if len(state.second_confirmed) == len(RANKS):
            yield from _release_held(state)


def _release_held(state: State) -> Iterator[tuple[str, State]]:
    for rank in RANKS:
        if state.held[rank]:
            yield f'release {rank} by 2', state.order('release', rank)


CHECKED = (Variant(), Variant(use_terms=False))
"""Variants for which the invariant has to be true in all reachable states: the
code's and one without terms.

With two coordinators, safety does not depend on terms because the second
coordinator holds the step itself. The code uses terms to prevent two
coordinators from undoing each other's switches for ever.
"""

NAIVE = (
    Variant(hold_before_arming=False),
    Variant(hold_before_undoing=False),
    Variant(complete_armed=True),
    Variant(invalidate_orders=False),
)
"""Variants without one of the safeguards, which the checker has to refute."""


def check(variant: Variant) -> dict:
    """Return the verdict on 'one map in each step'."""
    return verdicts.check(protocol(variant), 'one map in each step')


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
