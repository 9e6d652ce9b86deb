"""Runs the model checker over the variants of a specification."""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any, Self, TypeVar

import minicheck

MAX_STATES = 3_000_000

State = TypeVar('State')


class FrozenState:
    """Base of the frozen data class that is the state of a specification."""

    def but(self, **changes: object) -> Self:
        """Return the state with some fields changed."""
        return dataclasses.replace(self, **changes)


def protocol(
    name: str,
    initial: State,
    transitions: Callable[[State], Iterable[tuple[str, State]]],
    invariant: str,
    holds: Callable[[State], bool],
) -> minicheck.Protocol:
    """Return a specification whose state is one frozen object.

    :param transitions: returns the labelled states that may follow.
    :param invariant: name of the promise that *holds* decides.
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
    )


def replaced(values: tuple, index: int, value: object) -> tuple:
    """Return *values* with another value at *index*."""
    return (*values[:index], value, *values[index + 1 :])


def check(protocol: minicheck.Protocol, invariant: str) -> dict[str, Any]:
    """Return the verdict on one invariant of a specification."""
    result = minicheck.check_safety(protocol, MAX_STATES)
    return {
        **result['properties'][invariant],
        'exhaustive': result['exhaustive'],
        'states': result['reachable_states'],
    }


def report(
    check_variant: Callable[[Any], dict[str, Any]],
    checked: Sequence[Any],
    naive: Sequence[Any],
) -> int:
    """Print all verdicts; return 1 if one is wrong.

    :param checked: variants that have to hold.
    :param naive: variants that have to be refuted.
    """
    is_wrong = False
    for variant in (*checked, *naive):
        started_s = time.monotonic()
        found = check_variant(variant)
        took_s = time.monotonic() - started_s
        print(f'{variant}: {found["holds"]}, {found["states"]} states', end='')
        print(f', exhaustive: {found["exhaustive"]}, {took_s:.1f} s')
        for step in found['counterexample'] or ():
            print(f'  {step["label"]}: {step["state"]}')
        is_wrong |= found['holds'] is not (variant in checked)
    return int(is_wrong)
