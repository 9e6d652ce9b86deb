"""Specification of the change of a live expert map for the model checker.

Two ranks have prepared version 1. Coordinator 1, beside rank 0, holds a step
at its rank, has both ranks armed for it and releases it. Coordinator 2, beside
rank 1, may take over at any time: it gets the promise of the other agent, or
drives that rank at the engine itself while the agent, and with it coordinator
1, goes on. So coordinator 1 stands for one that is frozen and wakes up.
Coordinator 2 holds the step at its own rank, as a release by coordinator 1 may
be on its way, and undoes the switch.

An order that was sent can be carried out at any later moment, again and again,
or never. This covers answers that are lost and orders carried out seconds
later, after newer ones. Statuses are read one rank at a time and may be old
when they decide.

Actions and the functions of the code:

- ``hold``, ``arm``, ``release``, ``disarm``, ``prepare``: orders of
  ``rank.RankController``; ``do ...``: the engine carries one out
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
CLEAR = {1: 3, 2: 4}
"""Version that each coordinator prepares to make late orders harmless."""

# Phases of coordinator 1 and of coordinator 2.
HOLDING, ARMING, RELEASING, ABORTING = range(4)
WAITING, READING, TAKING_HOLD, CLEARING, LEAVING = range(5)


@dataclasses.dataclass(frozen=True)
class Variant:
    """What is checked; the flags that are off give the naive variants.

    :ivar use_hold: hold the step before ranks are armed.
    :ivar use_terms: ranks obey no lower term than the one they promised.
    :ivar own_hold: coordinator 2 holds the step itself before it undoes a
        switch.
    :ivar complete: a switch that is armed everywhere is completed instead.
    :ivar clear: an abort prepares a new version on each rank.
    """

    use_hold: bool = True
    use_terms: bool = True
    own_hold: bool = True
    complete: bool = False
    clear: bool = True


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """Engines, agents and coordinators.

    :ivar current: version in effect, by rank.
    :ivar prepared: version that can be armed, by rank.
    :ivar armed: version armed for the step, 0 for none, by rank.
    :ivar held: whether the engine holds the step, by rank.
    :ivar begun: whether the step has begun.
    :ivar promised: term that the agent obeys, by rank.
    :ivar sent: orders that can be carried out: (order, rank, version).
    :ivar first: phase of coordinator 1.
    :ivar first_knows: ranks whose statuses it counted.
    :ivar second: phase of coordinator 2.
    :ivar second_reach: ranks that it reaches, by promise or directly.
    :ivar second_read: statuses that it read: (armed, held) by rank, or None.
    :ivar second_knows: ranks that it knows to be cleared.
    """

    current: tuple[int, ...] = (OLD, OLD)
    prepared: tuple[int, ...] = (NEW, NEW)
    armed: tuple[int, ...] = (0, 0)
    held: tuple[bool, ...] = (False, False)
    begun: bool = False
    promised: tuple[int, ...] = (1, 1)
    sent: frozenset = frozenset()
    first: int = HOLDING
    first_knows: frozenset = frozenset()
    second: int = WAITING
    second_reach: frozenset = frozenset()
    second_read: tuple = (None, None)
    second_knows: frozenset = frozenset()

    def order(self, name: str, rank: int, version: int = 0) -> State:
        """Return the state with an order sent."""
        return self.but(sent=self.sent | {(name, rank, version)})


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    first = HOLDING if variant.use_hold else ARMING
    return verdicts.protocol(
        'live switch',
        State(first=first),
        lambda state: _transitions(variant, state),
        'one map in each step',
        _one_map,
    )


def _one_map(state: State) -> bool:
    return len(set(state.current)) == 1


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    yield from _engines(state)
    yield from _first(variant, state)
    yield from _take_over(variant, state)
    if state.second in (TAKING_HOLD, CLEARING):
        yield from _second(variant, state)


def _engines(state: State) -> Iterator[tuple[str, State]]:
    for name, rank, version in state.sent:
        after = _carry_out(state, name, rank, version)
        yield f'do {name} {version} at {rank}', after
    if not state.begun and not any(state.held):
        current = tuple(
            armed or before
            for armed, before in zip(state.armed, state.current, strict=True)
        )
        yield 'step', state.but(begun=True, current=current, armed=(0, 0))


def _carry_out(state: State, name: str, rank: int, version: int) -> State:
    armed, prepared = state.armed[rank], state.prepared[rank]
    if name == 'hold' and not state.begun:
        return state.but(held=verdicts.replaced(state.held, rank, True))
    if name == 'release':
        return state.but(held=verdicts.replaced(state.held, rank, False))
    if name == 'arm' and not state.begun and prepared == version:
        return state.but(armed=verdicts.replaced(state.armed, rank, version))
    if name == 'disarm' and armed == version:
        return state.but(armed=verdicts.replaced(state.armed, rank, 0))
    if name == 'prepare' and not armed and version > prepared:
        return state.but(
            prepared=verdicts.replaced(state.prepared, rank, version)
        )
    return state


def _first(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Actions of coordinator 1 and of the agents that obey it."""
    obeying = [
        rank
        for rank in RANKS
        if state.promised[rank] == 1 or not variant.use_terms
    ]
    if 0 not in obeying:
        return
    if state.first == HOLDING:
        yield 'hold', state.order('hold', 0)
        if state.held[0]:
            yield 'held', state.but(first=ARMING)
    elif state.first == ARMING:
        for rank in obeying:
            yield f'arm {rank}', state.order('arm', rank, NEW)
            if state.armed[rank] == NEW:
                knows = state.first_knows | {rank}
                yield f'armed {rank}', state.but(first_knows=knows)
        if len(state.first_knows) == len(RANKS):
            yield 'all armed', state.but(first=RELEASING)
        elif variant.use_hold:
            aborting = state.but(first=ABORTING, first_knows=frozenset())
            yield 'give up', aborting
    elif state.first == RELEASING:
        yield 'release', state.order('release', 0)
    else:
        yield from _clear(variant, state, 1, obeying, state.first_knows)
        if len(state.first_knows) == len(RANKS):
            yield 'release', state.order('release', 0)


def _clear(
    variant: Variant,
    state: State,
    coordinator: int,
    ranks: list[int],
    known: frozenset,
) -> Iterator[tuple[str, State]]:
    """Disarm ranks and make late orders harmless."""
    version = CLEAR[coordinator]
    for rank in ranks:
        armed = state.armed[rank]
        if armed:
            yield f'disarm {rank}', state.order('disarm', rank, armed)
        elif variant.clear and state.prepared[rank] < version:
            yield f'prepare {rank}', state.order('prepare', rank, version)
        elif not variant.clear or state.prepared[rank] == version:
            field = 'first_knows' if coordinator == 1 else 'second_knows'
            after = state.but(**{field: known | {rank}})
            yield f'cleared {rank} for {coordinator}', after


def _take_over(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Coordinator 2 until it has decided."""
    if state.second == WAITING:
        after = state.but(
            second=READING,
            promised=verdicts.replaced(state.promised, 1, 2),
            second_reach=frozenset({1}),
        )
        yield 'take over', after
    if state.second != READING:
        return
    if 0 not in state.second_reach:
        reach = frozenset(RANKS)
        promised = verdicts.replaced(state.promised, 0, 2)
        yield 'claim 0', state.but(promised=promised, second_reach=reach)
        yield 'drive 0', state.but(second_reach=reach)
    for rank in state.second_reach:
        seen = (state.armed[rank], state.held[rank])
        read = verdicts.replaced(state.second_read, rank, seen)
        yield f'read {rank}', state.but(second_read=read)
    if None not in state.second_read and len(state.second_reach) == 2:
        yield 'resolve', state.but(second=_decide(variant, state))


def _decide(variant: Variant, state: State) -> int:
    """Return the next phase; every release goes through CLEARING's end."""
    armed = {armed for armed, _ in state.second_read}
    is_held = any(held for _, held in state.second_read)
    if armed == {0} and not is_held:
        return LEAVING
    return TAKING_HOLD if variant.own_hold else CLEARING


def _second(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Coordinator 2 after its decision."""
    armed = {armed for armed, _ in state.second_read}
    if variant.complete and armed == {NEW}:
        yield from _release_held(state)
    elif state.second == TAKING_HOLD:
        yield 'hold 1', state.order('hold', 1)
        if state.held[1]:
            yield 'held 1', state.but(second=CLEARING)
        if state.begun:
            yield 'too late', state.but(second=CLEARING)
    else:
        yield from _clear(variant, state, 2, list(RANKS), state.second_knows)
        if len(state.second_knows) == len(RANKS):
            yield from _release_held(state)


def _release_held(state: State) -> Iterator[tuple[str, State]]:
    for rank in RANKS:
        if state.held[rank]:
            yield f'release {rank} by 2', state.order('release', rank)


CHECKED = (Variant(), Variant(use_terms=False))
"""The variant of the code, explored exhaustively, and one without terms.

With two coordinators the hold of the second makes terms needless for safety;
the code keeps them so that two do not undo each other's switches for ever.
"""

NAIVE = (
    Variant(use_hold=False),
    Variant(own_hold=False),
    Variant(complete=True),
    Variant(clear=False),
)
"""Variants that the checker must refute."""


def check(variant: Variant) -> dict:
    """Return the verdict on 'one map in each step'."""
    return verdicts.check(protocol(variant), 'one map in each step')


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
