"""Specification of keys withdrawn at an entry that freezes or is cut off.

An operator takes a key away at some moment. The entry asks the store whether
its copy is the newest; the answer may come late, show the copy as of any
moment in between, or never come. The entry may be frozen at any time; a
steady clock does not count that. It serves a request if its copy has the key
and the proof of it is younger than the bound. See ``freshness.Freshness`` and
``follow.Follower``.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator

import minicheck

from . import verdicts

BOUND = 2
"""Time for which a withdrawn key may still be served."""

END = 7
"""Time at which the exploration ends: more than three bounds."""

PROPERTY = 'no request is served after the bound'


@dataclasses.dataclass(frozen=True)
class Variant:
    """What is checked; other values give the naive variants.

    :ivar count_suspension: the entry's clock counts the time in which it was
        frozen.
    :ivar from_question: a proof is as old as the question, not the answer.
    :ivar check_age: requests are refused when the proof is too old.
    """

    count_suspension: bool = True
    from_question: bool = True
    check_age: bool = True


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """Time, the store and the entry.

    :ivar now: true time.
    :ivar frozen: time for which the entry was frozen so far.
    :ivar withdrawn: when the key was taken away, or None.
    :ivar has_key: whether the entry's copy has the key.
    :ivar proof: time of the proof by the entry's clock.
    :ivar question: time of the question by the entry's clock, or None.
    :ivar shown: whether the store's answer on its way has the key, or None.
    :ivar is_wrong: a request was served too late.
    """

    now: int = 0
    frozen: int = 0
    withdrawn: int | None = None
    has_key: bool = True
    proof: int = 0
    question: int | None = None
    shown: bool | None = None
    is_wrong: bool = False


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    return verdicts.protocol(
        'key withdrawal',
        State(),
        lambda state: _transitions(variant, state),
        PROPERTY,
        lambda state: not state.is_wrong,
    )


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    if state.now < END:
        yield 'time passes', state.but(now=state.now + 1)
        if not variant.count_suspension:
            yield (
                'frozen',
                state.but(now=state.now + 1, frozen=state.frozen + 1),
            )
    if state.withdrawn is None:
        yield 'withdraw', state.but(withdrawn=state.now)
    clock = state.now - state.frozen
    if state.question is None:
        yield 'ask', state.but(question=clock)
    elif state.shown is None:
        yield 'store answers', state.but(shown=state.withdrawn is None)
    else:
        proof = state.question if variant.from_question else clock
        yield (
            'answer arrives',
            state.but(
                has_key=state.shown, proof=proof, question=None, shown=None
            ),
        )
    is_young = clock - state.proof <= BOUND or not variant.check_age
    if state.has_key and is_young:
        is_late = (
            state.withdrawn is not None and state.now > state.withdrawn + BOUND
        )
        yield 'serve', state.but(is_wrong=state.is_wrong or is_late)


CHECKED = (Variant(),)
NAIVE = (
    Variant(count_suspension=False),
    Variant(from_question=False),
    Variant(check_age=False),
)


def check(variant: Variant) -> dict:
    """Return the verdict on requests with a withdrawn key."""
    return verdicts.check(protocol(variant), PROPERTY)


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
