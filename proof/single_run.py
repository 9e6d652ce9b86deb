"""Specification of a call that may run only once, sent directly by the entry.

The entry connects to a target, sends the call, and receives an answer, a
rejection, or nothing. The bytes sent may arrive at any later time; a
connection may be reset before or after the target has read them. After a
rejection or a failed connection attempt the entry may try another target. It
answers 'done', 'not run' (429, 503) or 'unknown' (502, 504). See
``attempts.HttpAttemptRunner`` and ``calls.CallHandler``.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator

import minicheck

from . import verdicts

TARGETS = (0, 1)

# State of the bytes sent to a target.
NOT_SENT, IN_FLIGHT, EXECUTED, REJECTED = range(4)

# State of the attempt at a target, as known to the entry.
UNTRIED, SENT, ANSWERED, REFUSED, NOT_CONNECTED, ANSWER_LOST = range(6)

DONE, NOT_RUN, UNKNOWN = 'done', 'not run', 'unknown'
PROPERTY = 'at most one run, and no run after "not run"'


@dataclasses.dataclass(frozen=True)
class Variant:
    """Parameters of the model; a variant with a flag set is naive.

    :ivar retry_lost: a call whose answer was lost is sent to another target.
    :ivar reset_is_not_run: a reset before an answer counts as not run.
    :ivar late_is_not_run: a deadline exceeded without an answer counts as not
        run.
    """

    retry_lost: bool = False
    reset_is_not_run: bool = False
    late_is_not_run: bool = False


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """State of the bytes sent, the attempts and the answer.

    :ivar calls: state of the bytes sent, by target.
    :ivar attempts: state of the attempt as known to the entry, by target.
    :ivar answer: the answer to the caller, or None.
    """

    calls: tuple[int, ...] = (NOT_SENT, NOT_SENT)
    attempts: tuple[int, ...] = (UNTRIED, UNTRIED)
    answer: str | None = None


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    return verdicts.protocol(
        'single run',
        State(),
        lambda state: _transitions(variant, state),
        PROPERTY,
        _is_safe,
    )


def _is_safe(state: State) -> bool:
    return state.calls.count(EXECUTED) <= (0 if state.answer == NOT_RUN else 1)


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    for target in TARGETS:
        if state.calls[target] == IN_FLIGHT:
            for outcome, name in ((EXECUTED, 'runs'), (REJECTED, 'rejects')):
                calls = verdicts.replace_item(state.calls, target, outcome)
                yield f'{target} {name}', state.replace(calls=calls)
    if state.answer is None:
        yield from _entry_transitions(variant, state)


def _entry_transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    is_waiting = SENT in state.attempts
    may_send = not is_waiting and ANSWERED not in state.attempts
    if ANSWER_LOST in state.attempts:
        may_send = may_send and variant.retry_lost
    for target in TARGETS:
        if state.attempts[target] == UNTRIED and may_send:
            attempts = verdicts.replace_item(state.attempts, target, SENT)
            calls = verdicts.replace_item(state.calls, target, IN_FLIGHT)
            yield (
                f'send to {target}',
                state.replace(attempts=attempts, calls=calls),
            )
            attempts = verdicts.replace_item(
                state.attempts, target, NOT_CONNECTED
            )
            yield (
                f'no connection to {target}',
                state.replace(attempts=attempts),
            )
        if state.attempts[target] == SENT:
            yield from _receive(variant, state, target)
    if ANSWERED in state.attempts:
        yield 'answer', state.replace(answer=DONE)
    elif ANSWER_LOST in state.attempts:
        yield 'give up', state.replace(answer=UNKNOWN)
    elif is_waiting:
        deadline_answer = NOT_RUN if variant.late_is_not_run else UNKNOWN
        yield 'deadline', state.replace(answer=deadline_answer)
    else:
        yield 'refuse', state.replace(answer=NOT_RUN)


def _receive(
    variant: Variant, state: State, target: int
) -> Iterator[tuple[str, State]]:
    outcome = state.calls[target]
    if outcome == EXECUTED:
        attempts = verdicts.replace_item(state.attempts, target, ANSWERED)
        yield f'answer of {target}', state.replace(attempts=attempts)
    if outcome == REJECTED:
        attempts = verdicts.replace_item(state.attempts, target, REFUSED)
        yield f'rejection of {target}', state.replace(attempts=attempts)
    # The target may have read the bytes nevertheless.
    after_reset = REFUSED if variant.reset_is_not_run else ANSWER_LOST
    attempts = verdicts.replace_item(state.attempts, target, after_reset)
    yield f'{target} is silent or resets', state.replace(attempts=attempts)


CHECKED = (Variant(),)
NAIVE = (
    Variant(retry_lost=True),
    Variant(reset_is_not_run=True),
    Variant(late_is_not_run=True),
)


def check(variant: Variant) -> dict:
    """Return the verdict for executions and 'not run' answers."""
    return verdicts.check(protocol(variant), PROPERTY)


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
