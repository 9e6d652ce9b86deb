"""Runs the model checker on the variants of a specification."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Self, TypeVar

import minicheck

MAX_STATES = 3_000_000

State = TypeVar('State')


class FrozenState:
    """Base class of the frozen dataclasses that represent a state."""

    def replace(self, **changes: object) -> Self:
        """Return a copy with the given fields changed."""
        return dataclasses.replace(self, **changes)


def protocol(
    name: str,
    initial: State,
    transitions: Callable[[State], Iterable[tuple[str, State]]],
    invariant: str,
    holds: Callable[[State], bool],
    is_goal: Callable[[State], bool] | None = None,
) -> minicheck.Protocol:
    """Return a specification whose state is a single frozen object.

    :param transitions: returns the possible next states with their labels.
    :param invariant: name of the invariant that *holds* evaluates.
    :param is_goal: whether a state is one that has to stay reachable, see
        :func:`check_progress`.
    """
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=('state',),
        initial=(initial,),
        transitions=lambda state: [
            (label, (after,))
            for label, after in transitions(state[0])
            if after != state[0]
        ],
        invariants={invariant: lambda state: holds(state['state'])},
        goal=is_goal and (lambda state: is_goal(state['state'])),
    )


def replace_item(values: tuple, index: int, value: object) -> tuple:
    """Return a copy of *values* with *value* at *index*."""
    return (*values[:index], value, *values[index + 1 :])


def check(protocol: minicheck.Protocol, invariant: str) -> dict[str, Any]:
    """Return the verdict for one invariant of a specification."""
    result = minicheck.check_safety(protocol, MAX_STATES)
    return {
        **result['properties'][invariant],
        'exhaustive': result['exhaustive'],
        'states': result['reachable_states'],
    }


def check_progress(protocol: minicheck.Protocol) -> dict[str, Any]:
    """Return the verdict on whether all states can reach a goal state.

    The exploration is exhaustive, or the verdict is None.
    """
    result = minicheck.check_liveness(protocol)
    return {
        'holds': result['holds'],
        'exhaustive': result['holds'] is not None,
        'states': result['reachable_states'],
        'counterexample': result.get('counterexample'),
    }


def report(
    check_variant: Callable[[Any], dict[str, Any]],
    checked: Sequence[Any],
    naive: Sequence[Any],
) -> int:
    """Print all verdicts; return 1 if any differs from the expected one.

    :param checked: variants that must hold.
    :param naive: variants without a safeguard, which must be refuted.
    """
    has_unexpected = False
    for variant in (*checked, *naive):
        started_s = time.monotonic()
        verdict = check_variant(variant)
        took_s = time.monotonic() - started_s
        print(
            f'{variant}: {verdict["holds"]}, {verdict["states"]} states',
            end='',
        )
        print(f', exhaustive: {verdict["exhaustive"]}, {took_s:.1f} s')
        for step in verdict['counterexample'] or ():
            print(f'  {step["label"]}: {step["state"]}')
        has_unexpected |= verdict['holds'] is not (variant in checked)
    return int(has_unexpected)
