"""Specification of intents that overtake each other, for the model checker.

One coordinator has given up a switch (``ABORT``) and begins the next: it holds
the step, has both ranks armed (``ARM``) and releases the step (``RELEASE``).
Its datagrams may arrive at any later moment, more than once, or never. Each
agent obeys the intent that it took last; ``rank.RankController.accept``
refuses one with a lower serial number.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator

import minicheck

from . import verdicts

RANKS = (0, 1)
ABORT, ARM, RELEASE = range(3)
"""The intents in the order of their serial numbers."""

PROPERTY = 'one map in each step'


@dataclasses.dataclass(frozen=True)
class Variant:
    """What is checked.

    :ivar use_serial: agents refuse intents with a lower serial number.
    """

    use_serial: bool = True


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """Engines, agents, the coordinator and its messages.

    :ivar published: intents that were sent, by serial number.
    :ivar taken: intent that the agent obeys, by rank.
    :ivar armed: whether the engine is armed for the step, by rank.
    :ivar is_held: whether rank 0 holds the step.
    :ivar current: whether the new map is in effect, by rank; None before the
        step.
    :ivar counted: ranks whose statuses showed that they are armed.
    """

    published: int = 1
    taken: tuple[int, ...] = (ABORT, ABORT)
    armed: tuple[bool, ...] = (False, False)
    is_held: bool = True
    current: tuple[bool, ...] | None = None
    counted: frozenset = frozenset()


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    return verdicts.protocol(
        'intent order',
        State(),
        lambda state: _transitions(variant, state),
        PROPERTY,
        _one_map,
    )


def _one_map(state: State) -> bool:
    return state.current is None or len(set(state.current)) == 1


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    if state.published == ARM:
        yield 'publish ARM', state.but(published=ARM + 1)
    if state.published == RELEASE and len(state.counted) == len(RANKS):
        yield 'publish RELEASE', state.but(published=RELEASE + 1)
    for rank in RANKS:
        for serial in range(state.published):
            if variant.use_serial and serial < state.taken[rank]:
                continue
            taken = verdicts.replaced(state.taken, rank, serial)
            yield f'deliver {serial} to {rank}', state.but(taken=taken)
        if state.armed[rank]:
            counted = state.counted | {rank}
            yield f'status of {rank}', state.but(counted=counted)
        yield f'agent {rank} acts', _act(state, rank)
    if not state.is_held and state.current is None:
        yield 'step', state.but(current=state.armed)


def _act(state: State, rank: int) -> State:
    if state.current is not None:
        return state
    if state.taken[rank] == RELEASE:
        return state.but(is_held=state.is_held and rank != 0)
    is_armed = state.taken[rank] == ARM
    return state.but(armed=verdicts.replaced(state.armed, rank, is_armed))


CHECKED = (Variant(),)
NAIVE = (Variant(use_serial=False),)


def check(variant: Variant) -> dict:
    """Return the verdict on 'one map in each step'."""
    return verdicts.check(protocol(variant), PROPERTY)


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
