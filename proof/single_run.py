"""Specification of a call that must run once, sent by the entry itself.

The entry connects to a target, sends the call, and gets an answer, a
rejection, or nothing. Bytes that were sent may arrive at any later moment;
a connection may be reset before or after they were read. After a rejection
or a connection that was never made the entry may try another target; its
answers are 'done', 'not run' (429, 503) and 'unknown' (502, 504). See
``attempts.HttpAttemptRunner`` and ``calls.CallHandler``.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator

import minicheck

from . import verdicts

TARGETS = (0, 1)

# What has become of the bytes sent to a target.
NOTHING, ON_THE_WAY, RAN, REJECTED = range(4)

# What the entry knows of its attempt at a target.
UNTRIED, SENT, ANSWERED, TURNED_AWAY, NOT_CONNECTED, LOST = range(6)

DONE, NOT_RUN, UNKNOWN = 'done', 'not run', 'unknown'
PROPERTY = 'at most one run, and no run after "not run"'


@dataclasses.dataclass(frozen=True)
class Variant:
    """What is checked; the flags that are on give the naive variants.

    :ivar retry_lost: a call whose answer was lost is sent elsewhere.
    :ivar reset_is_not_run: a reset before an answer counts as not run.
    :ivar late_is_not_run: so does a deadline without an answer.
    """

    retry_lost: bool = False
    reset_is_not_run: bool = False
    late_is_not_run: bool = False


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """Bytes, targets, and what the entry knows and answered.

    :ivar calls: fate of the bytes for each target.
    :ivar known: what the entry knows, by target.
    :ivar answer: what the caller got, or None.
    """

    calls: tuple[int, ...] = (NOTHING, NOTHING)
    known: tuple[int, ...] = (UNTRIED, UNTRIED)
    answer: str | None = None


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    return verdicts.protocol(
        'single run',
        State(),
        lambda state: _transitions(variant, state),
        PROPERTY,
        _is_true,
    )


def _is_true(state: State) -> bool:
    return state.calls.count(RAN) <= (0 if state.answer == NOT_RUN else 1)


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    for target in TARGETS:
        if state.calls[target] == ON_THE_WAY:
            for fate, name in ((RAN, 'runs'), (REJECTED, 'rejects')):
                calls = verdicts.replaced(state.calls, target, fate)
                yield f'{target} {name}', state.but(calls=calls)
    if state.answer is None:
        yield from _entry(variant, state)


def _entry(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    waits = SENT in state.known
    may_send = not waits and ANSWERED not in state.known
    if LOST in state.known:
        may_send = may_send and variant.retry_lost
    for target in TARGETS:
        if state.known[target] == UNTRIED and may_send:
            known = verdicts.replaced(state.known, target, SENT)
            calls = verdicts.replaced(state.calls, target, ON_THE_WAY)
            yield f'send to {target}', state.but(known=known, calls=calls)
            known = verdicts.replaced(state.known, target, NOT_CONNECTED)
            yield f'no connection to {target}', state.but(known=known)
        if state.known[target] == SENT:
            yield from _hear(variant, state, target)
    if ANSWERED in state.known:
        yield 'answer', state.but(answer=DONE)
    elif LOST in state.known:
        yield 'give up', state.but(answer=UNKNOWN)
    elif waits:
        late = NOT_RUN if variant.late_is_not_run else UNKNOWN
        yield 'deadline', state.but(answer=late)
    else:
        yield 'refuse', state.but(answer=NOT_RUN)


def _hear(
    variant: Variant, state: State, target: int
) -> Iterator[tuple[str, State]]:
    fate = state.calls[target]
    if fate == RAN:
        known = verdicts.replaced(state.known, target, ANSWERED)
        yield f'answer of {target}', state.but(known=known)
    if fate == REJECTED:
        known = verdicts.replaced(state.known, target, TURNED_AWAY)
        yield f'rejection of {target}', state.but(known=known)
    # The bytes may have been read all the same.
    reset = TURNED_AWAY if variant.reset_is_not_run else LOST
    known = verdicts.replaced(state.known, target, reset)
    yield f'{target} is silent or resets', state.but(known=known)


CHECKED = (Variant(),)
NAIVE = (
    Variant(retry_lost=True),
    Variant(reset_is_not_run=True),
    Variant(late_is_not_run=True),
)


def check(variant: Variant) -> dict:
    """Return the verdict on runs and refusals."""
    return verdicts.check(protocol(variant), PROPERTY)


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
