"""Specification of reordered intents, for the model checker minicheck.

A coordinator has aborted a switch (``ABORT``) and starts the next one: it
holds the step, arms both ranks (``ARM``) and releases the step (``RELEASE``).
Its datagrams may arrive at any later time, more than once, or never. Each
agent follows the intent that it accepted last; ``rank.RankController.accept``
rejects an intent with a lower serial number.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator

import minicheck

from . import verdicts

RANKS = (0, 1)
ABORT, ARM, RELEASE = range(3)
"""The intents; each value is the serial number."""

PROPERTY = 'one map in each step'


@dataclasses.dataclass(frozen=True)
class Variant:
    """Parameters of the model.

    :ivar use_serial: agents reject intents with a lower serial number.
    """

    use_serial: bool = True


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """State of the engines, the agents, the coordinator and its messages.

    :ivar published: number of intents sent; they have the serial numbers
        below it.
    :ivar accepted: intent that the agent follows, by rank.
    :ivar armed: whether the engine is armed for the step, by rank.
    :ivar is_held: whether rank 0 holds the step.
    :ivar uses_new_map: whether the step uses the new map, by rank; None
        before the step.
    :ivar confirmed: ranks that have reported to the coordinator that they
        are armed.
    """

    published: int = 1
    accepted: tuple[int, ...] = (ABORT, ABORT)
    armed: tuple[bool, ...] = (False, False)
    is_held: bool = True
    uses_new_map: tuple[bool, ...] | None = None
    confirmed: frozenset = frozenset()


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    return verdicts.protocol(
        'intent order',
        State(),
        lambda state: _transitions(variant, state),
        PROPERTY,
        _has_one_map,
    )


def _has_one_map(state: State) -> bool:
    return state.uses_new_map is None or len(set(state.uses_new_map)) == 1


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    if state.published == ARM:
        yield 'publish ARM', state.replace(published=ARM + 1)
    if state.published == RELEASE and len(state.confirmed) == len(RANKS):
        yield 'publish RELEASE', state.replace(published=RELEASE + 1)
    for rank in RANKS:
        for serial in range(state.published):
            if variant.use_serial and serial < state.accepted[rank]:
                continue
            accepted = verdicts.replace_item(state.accepted, rank, serial)
            yield (
                f'deliver {serial} to {rank}',
                state.replace(accepted=accepted),
            )
        if state.armed[rank]:
            confirmed = state.confirmed | {rank}
            yield f'status of {rank}', state.replace(confirmed=confirmed)
        yield f'agent {rank} acts', _apply_intent(state, rank)
    if not state.is_held and state.uses_new_map is None:
        yield 'step', state.replace(uses_new_map=state.armed)


def _apply_intent(state: State, rank: int) -> State:
    if state.uses_new_map is not None:
        return state
    if state.accepted[rank] == RELEASE:
        return state.replace(is_held=state.is_held and rank != 0)
    is_armed = state.accepted[rank] == ARM
    return state.replace(
        armed=verdicts.replace_item(state.armed, rank, is_armed)
    )


CHECKED = (Variant(),)
NAIVE = (Variant(use_serial=False),)


def check(variant: Variant) -> dict:
    """Return the verdict for the invariant 'one map in each step'."""
    return verdicts.check(protocol(variant), PROPERTY)


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
