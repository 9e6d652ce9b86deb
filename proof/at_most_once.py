"""Specification of at-most-once execution, for the model checker minicheck.

Two requests with the same idempotency key arrive, the first at entry A, the
second at entry B. A dispatch right, identified by a nonce, allows one dispatch
to the agent and is acquired by a conditional write of the claim. In the plan
``TWO_ENTRIES`` each request may use one dispatch right; in ``OWN_RETRY`` the
request at A may use two in sequence, and the one at B none. There is one
agent, which may restart any number of times. Time advances in two ways: past
the maximum age of a dispatch (30 s) and past the retention time of ledger
records (600 s); a tombstone survives the first advance of the former kind.
Each entry may stop permanently at any point or act late (a paused entry is
one that does not act while time advances). Writes to the platform take effect
late or never, and their responses may be lost. Dispatches and replies arrive
late, in any order, or never.

An answer "not run" asserts that this request is never executed, and that its
key had not been executed when the request read the claim.

Transitions and the corresponding functions of the code:

======================  ====================================================
transition              code
======================  ====================================================
find                    ``claimed_calls._ClaimedCall._find_replaceable``
no_target               ``calls.CallHandler.choose`` refuses
take                    ``claims.ClaimStore.acquire`` sends the write
write_effect            the platform applies the conditional write
write_answer, read_back ``confirmed_put.confirmed_put``
dispatch                ``attempts.AttemptRunner.run``
deliver                 ``agent.calls.CallServer._admit`` and ``Ledger.start``
finish                  ``Ledger.finish``
result, refusal         the frames that ``AttemptRunner.run`` awaits
time_out                ``AttemptFailed`` with a phase other than REFUSED
ask_own                 ``_settle_own`` with ``OutcomeResolver.resolve``
ask_other               ``claimed_calls._ClaimedCall._refresh_earlier_claim``
late_inquiry            ``Ledger.cancel_if_not_started``, querier has stopped
restart                 a new ``lifecycle.new_incarnation``, an empty ledger
short_time, long_time   ``Ledger.expire`` and the age check in ``start``
stop                    the entry is killed
======================  ====================================================
"""

from __future__ import annotations

import dataclasses
import enum
import functools
from collections.abc import Iterator
from typing import Any, NamedTuple

import minicheck

MAX_STATES = 2_000_000
"""Exceeds the number of reachable states, so the search is exhaustive."""

RequestRights = tuple[tuple[int, ...], tuple[int, ...]]

TWO_ENTRIES: RequestRights = ((0,), (1,))
"""Dispatch rights by request: the caller retries through another entry."""

OWN_RETRY: RequestRights = ((0, 1), ())
"""Entry A retries internally; entry B finds no target."""


class Stage(enum.IntEnum):
    """Progress of a request; ENDED and NOT_RUN are final.

    ENDED: the request was answered with a result or with "may have run", or
    its entry stopped. No invariant depends on which of these happened, so they
    share a stage to reduce the number of states.
    """

    FIND = 0
    TAKE = 1
    WRITING = 2
    READ_BACK = 3
    CLAIMED = 4
    WAITING = 5
    ASK_OWN = 6
    ASK_OTHER = 7
    ENDED = 8
    NOT_RUN = 9


class Age(enum.IntEnum):
    """Age of a claim according to the agent's clock."""

    FRESH = 0
    PAST_LIMIT = 1
    PAST_RECORDS = 2


class DispatchState(enum.IntEnum):
    """State of the single dispatch of a right, and of the reply to it."""

    NONE = 0
    IN_FLIGHT = 1
    REFUSED = 2
    STARTED = 3
    FINISHED = 4


class LedgerEntry(enum.IntEnum):
    """State of the agent's ledger entry for a right."""

    NONE = 0
    TOMBSTONE = 1
    OLD_TOMBSTONE = 2
    STARTED = 3
    DONE = 4


class Write(enum.IntEnum):
    """State of the conditional write that creates a claim."""

    NONE = 0
    IN_FLIGHT = 1
    APPLIED = 2
    CONFLICT = 3


class ClaimState(enum.IntEnum):
    """State recorded in the claim object."""

    CLAIMED = 0
    NOT_RUN = 1
    DONE = 2
    UNKNOWN = 3


class Claim(NamedTuple):
    """The claim object; a missing one is represented by None."""

    right: int
    recorded: ClaimState = ClaimState.CLAIMED


class Request(NamedTuple):
    """One request and its progress at its entry.

    :ivar rights_used: number of its dispatch rights used so far.
    :ivar expected_claim: the claim that its conditional write expects.
    :ivar was_executed: whether the key had been executed when the request
        read the claim.
    """

    stage: Stage = Stage.FIND
    rights_used: int = 0
    expected_claim: Claim | None = None
    was_executed: bool = False


class Right(NamedTuple):
    """One dispatch right.

    :ivar is_current: whether the agent still has the incarnation that the
        right names.
    """

    write: Write = Write.NONE
    age: Age = Age.FRESH
    is_current: bool = True
    dispatch: DispatchState = DispatchState.NONE
    ledger_entry: LedgerEntry = LedgerEntry.NONE
    executed: bool = False


class State(NamedTuple):
    """State of the whole system.

    :ivar plan: the rights that each request may use; constant.
    :ivar wrongly_not_run: a request concluded that the key had not been
        executed, although it had been when the request read the claim.
    """

    plan: RequestRights
    claim: Claim | None
    requests: tuple[Request, ...]
    rights: tuple[Right, ...]
    wrongly_not_run: bool = False


@dataclasses.dataclass(frozen=True)
class Variant:
    """Safeguards to omit; the model checker must refute each such variant."""

    no_tombstones: bool = False
    no_incarnation_check: bool = False
    retry_on_timeout: bool = False
    no_age_limit: bool = False


Transition = tuple[str, State]


_FULL_PROTOCOL = Variant()


def protocol(
    plan: RequestRights, variant: Variant = _FULL_PROTOCOL
) -> minicheck.Protocol:
    """Return the specification with its invariants."""
    initial = State(plan, None, (Request(), Request()), (Right(), Right()))

    def transitions(packed: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [
            (label, (state,))
            for label, state in _transitions(packed[0], variant)
        ]

    return minicheck.Protocol(
        name='at_most_once',
        candidate=False,
        fields=('state',),
        initial=(initial,),
        transitions=transitions,
        invariants={
            'at most one execution': lambda d: (
                _execution_count(d['state']) <= 1
            ),
            'not run is true for ever': _not_run_is_true,
            'no second right while an earlier one may run': functools.partial(
                _at_most_one_can_run, variant
            ),
        },
    )


def check(
    plan: RequestRights,
    variant: Variant = _FULL_PROTOCOL,
    max_states: int = MAX_STATES,
) -> dict[str, Any]:
    """Return the verdict of minicheck for the reachable states."""
    return minicheck.check_safety(protocol(plan, variant), max_states)


def _execution_count(state: State) -> int:
    return sum(right.executed for right in state.rights)


def _not_run_is_true(fields: dict[str, State]) -> bool:
    state = fields['state']
    return not state.wrongly_not_run and not any(
        state.rights[number].executed
        for request, numbers in zip(state.requests, state.plan, strict=True)
        if request.stage is Stage.NOT_RUN
        for number in numbers
    )


def _at_most_one_can_run(variant: Variant, fields: dict[str, State]) -> bool:
    state = fields['state']
    return (
        sum(
            right.executed or _can_run(state, number, variant)
            for number, right in enumerate(state.rights)
        )
        <= 1
    )


def _can_run(state: State, number: int, variant: Variant) -> bool:
    """Return whether a right has a dispatch that the agent would accept."""
    index = 0 if number in state.plan[0] else 1
    request = state.requests[index]
    is_held = request.stage is Stage.CLAIMED and number == _current_right(
        state, index
    )
    right = state.rights[number]
    return (is_held or right.dispatch is DispatchState.IN_FLIGHT) and _accepts(
        right, variant
    )


def _accepts(right: Right, variant: Variant) -> bool:
    return (
        (right.is_current or variant.no_incarnation_check)
        and (right.age is Age.FRESH or variant.no_age_limit)
        and right.ledger_entry is LedgerEntry.NONE
    )


def _current_right(state: State, index: int) -> int:
    """Return the right that a request currently uses."""
    return state.plan[index][state.requests[index].rights_used - 1]


def _transitions(state: State, variant: Variant) -> Iterator[Transition]:
    for label, after in _unreduced_transitions(state, variant):
        yield label, _canonical(after, variant)


def _unreduced_transitions(
    state: State, variant: Variant
) -> Iterator[Transition]:
    for index, request in enumerate(state.requests):
        if request.stage < Stage.ENDED:
            for label, after in _request_transitions(state, index, variant):
                yield f'{label} {"AB"[index]}', after
            yield f'stop {"AB"[index]}', _set_stage(state, index, Stage.ENDED)
    for number, right in enumerate(state.rights):
        for label, after in _right_transitions(state, number, right, variant):
            yield f'{label} {number}', after
    yield 'restart', _map_rights(state, _restarted)
    yield 'short_time', _map_rights(state, _after_short_time)
    yield 'long_time', _map_rights(state, _after_long_time)


def _request_transitions(
    state: State, index: int, variant: Variant
) -> Iterator[Transition]:
    request = state.requests[index]
    transitions_of_stage = {
        Stage.FIND: _find,
        Stage.TAKE: _take,
        Stage.WRITING: _writing,
        Stage.READ_BACK: _read_back,
        Stage.CLAIMED: _dispatch,
        Stage.WAITING: _waiting,
        Stage.ASK_OWN: _ask_own,
        Stage.ASK_OTHER: _ask_other,
    }[request.stage]
    yield from transitions_of_stage(state, index, request, variant)


def _find(state, index, request, variant) -> Iterator[Transition]:
    claim = state.claim
    was_executed = _execution_count(state) > 0
    state = _set_request(state, index, was_executed=was_executed)
    if claim is None or claim.recorded is ClaimState.NOT_RUN:
        found = _set_request(
            state, index, stage=Stage.TAKE, expected_claim=claim
        )
        yield 'find', _check_not_run(found, index)
    elif claim.recorded is ClaimState.CLAIMED:
        yield (
            'find',
            _set_request(
                state, index, stage=Stage.ASK_OTHER, expected_claim=claim
            ),
        )
    # The claim records DONE or UNKNOWN, or the platform does not respond.
    yield 'find, answered', _set_stage(state, index, Stage.ENDED)


def _take(state, index, request, variant) -> Iterator[Transition]:
    refused = _set_stage(state, index, Stage.NOT_RUN)
    yield 'no_target', refused
    if (
        request.expected_claim is not None
        and state.claim == request.expected_claim
    ):
        claim = request.expected_claim._replace(recorded=ClaimState.NOT_RUN)
        yield 'no_target, recorded', refused._replace(claim=claim)
    if request.rights_used < len(state.plan[index]):
        rights_used = request.rights_used + 1
        after = _set_request(
            state, index, stage=Stage.WRITING, rights_used=rights_used
        )
        number = state.plan[index][rights_used - 1]
        yield 'take', _set_right(after, number, write=Write.IN_FLIGHT)


def _writing(state, index, request, variant) -> Iterator[Transition]:
    write = state.rights[_current_right(state, index)].write
    if write is Write.APPLIED:
        yield 'write_answer', _set_stage(state, index, Stage.CLAIMED)
    if write is Write.CONFLICT:
        yield 'write_answer', _set_stage(state, index, Stage.FIND)
    yield 'write_answer_lost', _set_stage(state, index, Stage.READ_BACK)


def _read_back(state, index, request, variant) -> Iterator[Transition]:
    if state.claim == Claim(_current_right(state, index)):
        yield 'read_back', _set_stage(state, index, Stage.CLAIMED)
    elif state.claim != request.expected_claim:
        yield 'read_back', _set_stage(state, index, Stage.FIND)
    yield 'read_back_fails', _set_stage(state, index, Stage.NOT_RUN)


def _dispatch(state, index, request, variant) -> Iterator[Transition]:
    after = _set_stage(state, index, Stage.WAITING)
    number = _current_right(state, index)
    yield (
        'dispatch',
        _set_right(after, number, dispatch=DispatchState.IN_FLIGHT),
    )


def _waiting(state, index, request, variant) -> Iterator[Transition]:
    number = _current_right(state, index)
    dispatch = state.rights[number].dispatch
    if dispatch is DispatchState.FINISHED:
        after = _set_stage(state, index, Stage.ENDED)
        yield 'result', after
        yield 'result, recorded', _record(after, number, ClaimState.DONE)
    if dispatch is DispatchState.REFUSED:
        yield 'refusal', _allow_retry(state, index, number)
    if variant.retry_on_timeout:
        yield 'time_out', _allow_retry(state, index, number)
    else:
        yield 'time_out', _set_stage(state, index, Stage.ASK_OWN)


def _ask_own(state, index, request, variant) -> Iterator[Transition]:
    number = _current_right(state, index)
    outcome, asked = _query_agent(state, number, variant)
    yield 'ask_own, reply lost', _set_stage(asked, index, Stage.ENDED)
    if outcome is ClaimState.NOT_RUN:
        yield 'ask_own', _allow_retry(asked, index, number)
    elif outcome is ClaimState.CLAIMED:
        yield 'ask_own, in progress', asked
    else:
        after = _set_stage(asked, index, Stage.ENDED)
        yield 'ask_own, recorded', _record(after, number, outcome)


def _ask_other(state, index, request, variant) -> Iterator[Transition]:
    number = request.expected_claim.right
    outcome, asked = _query_agent(state, number, variant)
    yield 'ask_other, reply lost', _set_stage(asked, index, Stage.ENDED)
    if outcome is ClaimState.NOT_RUN:
        not_run = _check_not_run(_set_stage(asked, index, Stage.TAKE), index)
        yield 'ask_other', not_run
    elif outcome is not ClaimState.CLAIMED:
        after = _set_stage(asked, index, Stage.ENDED)
        yield 'ask_other, recorded', _record(after, number, outcome)


def _query_agent(
    state: State, number: int, variant: Variant
) -> tuple[ClaimState, State]:
    """Return the agent's reply (CLAIMED: in progress) and the next state."""
    right = state.rights[number]
    if not right.is_current and not variant.no_incarnation_check:
        return ClaimState.UNKNOWN, state
    if right.ledger_entry is LedgerEntry.STARTED:
        return ClaimState.CLAIMED, state
    if right.ledger_entry is LedgerEntry.DONE:
        return ClaimState.DONE, state
    if (
        right.ledger_entry is LedgerEntry.NONE
        and right.age is Age.PAST_RECORDS
    ):
        return ClaimState.UNKNOWN, state
    if right.ledger_entry is LedgerEntry.NONE and not variant.no_tombstones:
        state = _set_right(state, number, ledger_entry=LedgerEntry.TOMBSTONE)
    return ClaimState.NOT_RUN, state


def _right_transitions(
    state: State, number: int, right: Right, variant: Variant
) -> Iterator[Transition]:
    if right.write is Write.IN_FLIGHT:
        yield 'write_effect', _write_effect(state, number)
    if right.dispatch is DispatchState.IN_FLIGHT:
        yield 'deliver', _deliver(state, number, right, variant)
        yield 'lose', _set_right(state, number, dispatch=DispatchState.NONE)
    if right.ledger_entry is LedgerEntry.STARTED:
        yield (
            'finish',
            _set_right(
                state,
                number,
                ledger_entry=LedgerEntry.DONE,
                dispatch=DispatchState.FINISHED,
            ),
        )
    if state.claim == Claim(number):
        yield 'late_inquiry', _query_agent(state, number, variant)[1]


def _write_effect(state: State, number: int) -> State:
    index = 0 if number in state.plan[0] else 1
    request = state.requests[index]
    # If its request has moved on to another right, the write expects an
    # older claim and fails.
    is_latest = _current_right(state, index) == number
    if is_latest and state.claim == request.expected_claim:
        after = state._replace(claim=Claim(number))
        return _set_right(after, number, write=Write.APPLIED)
    return _set_right(state, number, write=Write.CONFLICT)


def _deliver(
    state: State, number: int, right: Right, variant: Variant
) -> State:
    if not _accepts(right, variant):
        return _set_right(state, number, dispatch=DispatchState.REFUSED)
    return _set_right(
        state,
        number,
        dispatch=DispatchState.STARTED,
        ledger_entry=LedgerEntry.STARTED,
        executed=True,
    )


def _restarted(right: Right) -> Right:
    if right.write is Write.NONE:
        return right
    return right._replace(is_current=False, ledger_entry=LedgerEntry.NONE)


def _after_short_time(right: Right) -> Right:
    if right.write is Write.NONE:
        return right
    ledger_entry = {
        LedgerEntry.TOMBSTONE: LedgerEntry.OLD_TOMBSTONE,
        LedgerEntry.OLD_TOMBSTONE: LedgerEntry.NONE,
    }.get(right.ledger_entry, right.ledger_entry)
    age = max(right.age, Age.PAST_LIMIT)
    return right._replace(age=age, ledger_entry=ledger_entry)


def _after_long_time(right: Right) -> Right:
    if right.write is Write.NONE:
        return right
    is_running = right.ledger_entry is LedgerEntry.STARTED
    ledger_entry = LedgerEntry.STARTED if is_running else LedgerEntry.NONE
    return right._replace(age=Age.PAST_RECORDS, ledger_entry=ledger_entry)


def _allow_retry(state: State, index: int, number: int) -> State:
    after = _set_request(
        state, index, stage=Stage.TAKE, expected_claim=Claim(number)
    )
    return _check_not_run(after, index)


def _check_not_run(state: State, index: int) -> State:
    if state.requests[index].was_executed:
        return state._replace(wrongly_not_run=True)
    return state


def _record(state: State, number: int, recorded: ClaimState) -> State:
    if state.claim != Claim(number):
        return state
    return state._replace(claim=Claim(number, recorded))


def _set_stage(state: State, index: int, stage: Stage) -> State:
    return _set_request(state, index, stage=stage)


def _set_request(state: State, index: int, **changes: Any) -> State:
    requests = list(state.requests)
    requests[index] = requests[index]._replace(**changes)
    return state._replace(requests=tuple(requests))


def _set_right(state: State, number: int, **changes: Any) -> State:
    rights = list(state.rights)
    rights[number] = rights[number]._replace(**changes)
    return state._replace(rights=tuple(rights))


def _map_rights(state: State, change) -> State:
    return state._replace(rights=tuple(map(change, state.rights)))


def _canonical(state: State, variant: Variant) -> State:
    """Return *state* with values reset that no longer affect behaviour.

    States that differ only in such values are equivalent, so merging them
    reduces the search.
    """
    requests = tuple(
        _canonical_request(state, index, request)
        for index, request in enumerate(state.requests)
    )
    state = state._replace(requests=requests)
    rights = tuple(
        _canonical_right(state, number, right, variant)
        for number, right in enumerate(state.rights)
    )
    claim = state.claim
    if claim is not None and claim.recorded >= ClaimState.DONE:
        claim = _FINAL_CLAIM
    return state._replace(claim=claim, rights=rights)


_FINAL_CLAIM = Claim(-1, ClaimState.UNKNOWN)


def _canonical_request(state: State, index: int, request: Request) -> Request:
    if request.stage < Stage.ENDED:
        return request
    if request.rights_used and (
        state.rights[_current_right(state, index)].write == Write.IN_FLIGHT
    ):
        return request._replace(was_executed=False)
    return Request(request.stage)


def _canonical_right(
    state: State, number: int, right: Right, variant: Variant
) -> Right:
    if right.write == Write.NONE:
        return right
    index = 0 if number in state.plan[0] else 1
    request = state.requests[index]
    is_own = request.rights_used > 0 and _current_right(state, index) == number
    is_awaited = is_own and request.stage == Stage.WAITING
    if right.dispatch >= DispatchState.REFUSED and not is_awaited:
        right = right._replace(dispatch=DispatchState.NONE)
    if not right.is_current and not variant.no_incarnation_check:
        right = right._replace(
            age=Age.PAST_RECORDS, ledger_entry=LedgerEntry.NONE
        )
    is_named = state.claim == Claim(number) or any(
        item.expected_claim == Claim(number) for item in state.requests
    )
    is_active = is_own and request.stage < Stage.ENDED
    is_in_flight = (
        right.dispatch == DispatchState.IN_FLIGHT
        or right.write == Write.IN_FLIGHT
    )
    if is_named or is_active or is_in_flight:
        return right
    return Right(
        Write.CONFLICT, Age.PAST_RECORDS, False, executed=right.executed
    )
