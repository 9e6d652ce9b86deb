"""Specification of at-most-once execution, for the model checker minicheck.

Two requests of callers carry one key, the first through entry A, the second
through entry B. In the plan ``TWO_ENTRIES`` each may use one dispatch right;
in ``OWN_RETRY`` A may use two, one after the other, and B none. One agent
restarts any number of times. Time passes in two steps: past the age limit of
a dispatch (30 s) and past the retention of records (600 s); a tombstone
outlives one step of the first kind. Every entry may stop for good at any
point or act late (a paused entry is one that does not act while time passes).
Writes to the platform take effect late or never, and their answers get lost.
Dispatches and replies arrive late, in any order, or never.

"Not run" says of a request that it is never executed, and of its key that it
had not been executed when the request read the claim.

Which action is which function of the code:

======================  ====================================================
action                  code
======================  ====================================================
find                    ``claimed_calls._ClaimedCall._find_replaceable``
no_target               ``calls.CallHandler.choose`` refuses
take                    ``claims.ClaimStore.acquire`` sends the write
write_effect            the platform applies the conditional write
write_answer, read_back ``confirmed_put.confirmed_put``
dispatch                ``attempts.AttemptRunner.run``
deliver                 ``agent.calls.CallServer._admit`` and ``Ledger.start``
finish                  ``Ledger.finish``
result, refusal         the frames that ``AttemptRunner.run`` waits for
time_out                ``AttemptFailed`` with another phase than REFUSED
ask_own                 ``_settle_own`` with ``OutcomeResolver.resolve``
ask_other               ``claimed_calls._ClaimedCall._refresh_earlier_claim``
late_inquiry            ``Ledger.cancel_if_not_started``, the asker is gone
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
"""More than the reachable states, so that the search is exhaustive."""

RightsOfRequests = tuple[tuple[int, ...], tuple[int, ...]]

TWO_ENTRIES: RightsOfRequests = ((0,), (1,))
"""Dispatch rights (nonces) of the requests: a retry through another entry."""

OWN_RETRY: RightsOfRequests = ((0, 1), ())
"""Entry A retries by itself; entry B finds no target."""


class Stage(enum.IntEnum):
    """How far a request has got; from ENDED on it does nothing more.

    ENDED: it was answered with a result or with "may have run", or its entry
    was stopped. These constrain nothing and are one stage, to keep the
    search small.
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
    """Age of a claim by the agent's clock."""

    FRESH = 0
    PAST_LIMIT = 1
    PAST_RECORDS = 2


class Mail(enum.IntEnum):
    """Where the one dispatch of a right, or the reply to it, is."""

    NONE = 0
    UNDER_WAY = 1
    REFUSED = 2
    STARTED = 3
    FINISHED = 4


class Entry(enum.IntEnum):
    """The agent's ledger entry for a right."""

    NONE = 0
    TOMBSTONE = 1
    OLD_TOMBSTONE = 2
    STARTED = 3
    DONE = 4


class Write(enum.IntEnum):
    """The conditional write that makes a claim."""

    NONE = 0
    UNDER_WAY = 1
    APPLIED = 2
    CONFLICT = 3


class Recorded(enum.IntEnum):
    """State in the claim object."""

    CLAIMED = 0
    NOT_RUN = 1
    DONE = 2
    UNKNOWN = 3


class Claim(NamedTuple):
    """The claim object; None stands for a missing one."""

    right: int
    recorded: Recorded = Recorded.CLAIMED


class Request(NamedTuple):
    """One request at its entry.

    :ivar used: how many of its rights it has used.
    :ivar seen: the claim that its write expects.
    :ivar was_executed: whether the key had been executed when it read the
        claim.
    """

    stage: Stage = Stage.FIND
    used: int = 0
    seen: Claim | None = None
    was_executed: bool = False


class Right(NamedTuple):
    """One dispatch right.

    :ivar is_current: whether the agent still has the incarnation it names.
    """

    write: Write = Write.NONE
    age: Age = Age.FRESH
    is_current: bool = True
    mail: Mail = Mail.NONE
    entry: Entry = Entry.NONE
    executed: bool = False


class State(NamedTuple):
    """The whole system.

    :ivar plan: the rights that each request may use; constant.
    :ivar false_free: a request took the key for not executed although it had
        been when the request read the claim.
    """

    plan: RightsOfRequests
    claim: Claim | None
    requests: tuple[Request, ...]
    rights: tuple[Right, ...]
    false_free: bool = False


@dataclasses.dataclass(frozen=True)
class Variant:
    """Parts of the protocol that are left out, to see them refuted."""

    no_tombstones: bool = False
    no_incarnation_check: bool = False
    retry_on_timeout: bool = False
    no_age_limit: bool = False


Step = tuple[str, State]


_WHOLE = Variant()


def protocol(
    plan: RightsOfRequests, variant: Variant = _WHOLE
) -> minicheck.Protocol:
    """Return the specification with its invariants."""
    initial = State(plan, None, (Request(), Request()), (Right(), Right()))

    def transitions(packed: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [
            (label, (state,)) for label, state in _steps(packed[0], variant)
        ]

    return minicheck.Protocol(
        name='at_most_once',
        candidate=False,
        fields=('state',),
        initial=(initial,),
        transitions=transitions,
        invariants={
            'at most one execution': lambda d: _executions(d['state']) <= 1,
            'not run is true for ever': _not_run_is_true,
            'no second right while an earlier one may run': functools.partial(
                _has_one_right, variant
            ),
        },
    )


def check(
    plan: RightsOfRequests,
    variant: Variant = _WHOLE,
    max_states: int = MAX_STATES,
) -> dict[str, Any]:
    """Return the verdict of minicheck over the reachable states."""
    return minicheck.check_safety(protocol(plan, variant), max_states)


def _executions(state: State) -> int:
    return sum(right.executed for right in state.rights)


def _not_run_is_true(fields: dict[str, State]) -> bool:
    state = fields['state']
    return not state.false_free and not any(
        state.rights[number].executed
        for request, numbers in zip(state.requests, state.plan, strict=True)
        if request.stage is Stage.NOT_RUN
        for number in numbers
    )


def _has_one_right(variant: Variant, fields: dict[str, State]) -> bool:
    state = fields['state']
    return (
        sum(
            right.executed or _can_run(state, number, variant)
            for number, right in enumerate(state.rights)
        )
        <= 1
    )


def _can_run(state: State, number: int, variant: Variant) -> bool:
    """Return whether the dispatch of a right exists and would be accepted."""
    index = 0 if number in state.plan[0] else 1
    request = state.requests[index]
    is_held = request.stage is Stage.CLAIMED and number == _own(state, index)
    right = state.rights[number]
    return (is_held or right.mail is Mail.UNDER_WAY) and _accepts(
        right, variant
    )


def _accepts(right: Right, variant: Variant) -> bool:
    return (
        (right.is_current or variant.no_incarnation_check)
        and (right.age is Age.FRESH or variant.no_age_limit)
        and right.entry is Entry.NONE
    )


def _own(state: State, index: int) -> int:
    """Return the right that a request uses at present."""
    return state.plan[index][state.requests[index].used - 1]


def _steps(state: State, variant: Variant) -> Iterator[Step]:
    for label, after in _all_steps(state, variant):
        yield label, _reduced(after, variant)


def _all_steps(state: State, variant: Variant) -> Iterator[Step]:
    for index, request in enumerate(state.requests):
        if request.stage < Stage.ENDED:
            for label, after in _request_steps(state, index, variant):
                yield f'{label} {"AB"[index]}', after
            yield f'stop {"AB"[index]}', _move(state, index, Stage.ENDED)
    for number, right in enumerate(state.rights):
        for label, after in _right_steps(state, number, right, variant):
            yield f'{label} {number}', after
    yield 'restart', _map_rights(state, _restarted)
    yield 'short_time', _map_rights(state, _after_short_time)
    yield 'long_time', _map_rights(state, _after_long_time)


def _request_steps(
    state: State, index: int, variant: Variant
) -> Iterator[Step]:
    request = state.requests[index]
    step = {
        Stage.FIND: _find,
        Stage.TAKE: _take,
        Stage.WRITING: _writing,
        Stage.READ_BACK: _read_back,
        Stage.CLAIMED: _dispatch,
        Stage.WAITING: _waiting,
        Stage.ASK_OWN: _ask_own,
        Stage.ASK_OTHER: _ask_other,
    }[request.stage]
    yield from step(state, index, request, variant)


def _find(state, index, request, variant) -> Iterator[Step]:
    claim = state.claim
    was_executed = _executions(state) > 0
    state = _set(state, index, was_executed=was_executed)
    if claim is None or claim.recorded is Recorded.NOT_RUN:
        found = _set(state, index, stage=Stage.TAKE, seen=claim)
        yield 'find', _note_free(found, index)
    elif claim.recorded is Recorded.CLAIMED:
        yield 'find', _set(state, index, stage=Stage.ASK_OTHER, seen=claim)
    # The claim says done or unknown, or the platform does not answer.
    yield 'find, answered', _move(state, index, Stage.ENDED)


def _take(state, index, request, variant) -> Iterator[Step]:
    refused = _move(state, index, Stage.NOT_RUN)
    yield 'no_target', refused
    if request.seen is not None and state.claim == request.seen:
        claim = request.seen._replace(recorded=Recorded.NOT_RUN)
        yield 'no_target, recorded', refused._replace(claim=claim)
    if request.used < len(state.plan[index]):
        used = request.used + 1
        after = _set(state, index, stage=Stage.WRITING, used=used)
        number = state.plan[index][used - 1]
        yield 'take', _set_right(after, number, write=Write.UNDER_WAY)


def _writing(state, index, request, variant) -> Iterator[Step]:
    write = state.rights[_own(state, index)].write
    if write is Write.APPLIED:
        yield 'write_answer', _move(state, index, Stage.CLAIMED)
    if write is Write.CONFLICT:
        yield 'write_answer', _move(state, index, Stage.FIND)
    yield 'write_answer_lost', _move(state, index, Stage.READ_BACK)


def _read_back(state, index, request, variant) -> Iterator[Step]:
    if state.claim == Claim(_own(state, index)):
        yield 'read_back', _move(state, index, Stage.CLAIMED)
    elif state.claim != request.seen:
        yield 'read_back', _move(state, index, Stage.FIND)
    yield 'read_back_fails', _move(state, index, Stage.NOT_RUN)


def _dispatch(state, index, request, variant) -> Iterator[Step]:
    after = _move(state, index, Stage.WAITING)
    number = _own(state, index)
    yield 'dispatch', _set_right(after, number, mail=Mail.UNDER_WAY)


def _waiting(state, index, request, variant) -> Iterator[Step]:
    number = _own(state, index)
    mail = state.rights[number].mail
    if mail is Mail.FINISHED:
        after = _move(state, index, Stage.ENDED)
        yield 'result', after
        yield 'result, recorded', _record(after, number, Recorded.DONE)
    if mail is Mail.REFUSED:
        yield 'refusal', _may_take_again(state, index, number)
    if variant.retry_on_timeout:
        yield 'time_out', _may_take_again(state, index, number)
    else:
        yield 'time_out', _move(state, index, Stage.ASK_OWN)


def _ask_own(state, index, request, variant) -> Iterator[Step]:
    number = _own(state, index)
    outcome, asked = _inquire(state, number, variant)
    yield 'ask_own, reply lost', _move(asked, index, Stage.ENDED)
    if outcome is Recorded.NOT_RUN:
        yield 'ask_own', _may_take_again(asked, index, number)
    elif outcome is Recorded.CLAIMED:
        yield 'ask_own, in progress', asked
    else:
        after = _move(asked, index, Stage.ENDED)
        yield 'ask_own, recorded', _record(after, number, outcome)


def _ask_other(state, index, request, variant) -> Iterator[Step]:
    number = request.seen.right
    outcome, asked = _inquire(state, number, variant)
    yield 'ask_other, reply lost', _move(asked, index, Stage.ENDED)
    if outcome is Recorded.NOT_RUN:
        free = _note_free(_move(asked, index, Stage.TAKE), index)
        yield 'ask_other', free
    elif outcome is not Recorded.CLAIMED:
        after = _move(asked, index, Stage.ENDED)
        yield 'ask_other, recorded', _record(after, number, outcome)


def _inquire(
    state: State, number: int, variant: Variant
) -> tuple[Recorded, State]:
    """Return the agent's answer (CLAIMED: in progress) and its effect."""
    right = state.rights[number]
    if not right.is_current and not variant.no_incarnation_check:
        return Recorded.UNKNOWN, state
    if right.entry is Entry.STARTED:
        return Recorded.CLAIMED, state
    if right.entry is Entry.DONE:
        return Recorded.DONE, state
    if right.entry is Entry.NONE and right.age is Age.PAST_RECORDS:
        return Recorded.UNKNOWN, state
    if right.entry is Entry.NONE and not variant.no_tombstones:
        state = _set_right(state, number, entry=Entry.TOMBSTONE)
    return Recorded.NOT_RUN, state


def _right_steps(
    state: State, number: int, right: Right, variant: Variant
) -> Iterator[Step]:
    if right.write is Write.UNDER_WAY:
        yield 'write_effect', _write_effect(state, number)
    if right.mail is Mail.UNDER_WAY:
        yield 'deliver', _deliver(state, number, right, variant)
        yield 'lose', _set_right(state, number, mail=Mail.NONE)
    if right.entry is Entry.STARTED:
        yield (
            'finish',
            _set_right(state, number, entry=Entry.DONE, mail=Mail.FINISHED),
        )
    if state.claim == Claim(number):
        yield 'late_inquiry', _inquire(state, number, variant)[1]


def _write_effect(state: State, number: int) -> State:
    index = 0 if number in state.plan[0] else 1
    request = state.requests[index]
    # A write whose request went on to another right expects an older claim.
    is_latest = _own(state, index) == number
    if is_latest and state.claim == request.seen:
        after = state._replace(claim=Claim(number))
        return _set_right(after, number, write=Write.APPLIED)
    return _set_right(state, number, write=Write.CONFLICT)


def _deliver(
    state: State, number: int, right: Right, variant: Variant
) -> State:
    if not _accepts(right, variant):
        return _set_right(state, number, mail=Mail.REFUSED)
    return _set_right(
        state, number, mail=Mail.STARTED, entry=Entry.STARTED, executed=True
    )


def _restarted(right: Right) -> Right:
    if right.write is Write.NONE:
        return right
    return right._replace(is_current=False, entry=Entry.NONE)


def _after_short_time(right: Right) -> Right:
    if right.write is Write.NONE:
        return right
    entry = {
        Entry.TOMBSTONE: Entry.OLD_TOMBSTONE,
        Entry.OLD_TOMBSTONE: Entry.NONE,
    }.get(right.entry, right.entry)
    age = max(right.age, Age.PAST_LIMIT)
    return right._replace(age=age, entry=entry)


def _after_long_time(right: Right) -> Right:
    if right.write is Write.NONE:
        return right
    is_running = right.entry is Entry.STARTED
    entry = Entry.STARTED if is_running else Entry.NONE
    return right._replace(age=Age.PAST_RECORDS, entry=entry)


def _may_take_again(state: State, index: int, number: int) -> State:
    after = _set(state, index, stage=Stage.TAKE, seen=Claim(number))
    return _note_free(after, index)


def _note_free(state: State, index: int) -> State:
    if state.requests[index].was_executed:
        return state._replace(false_free=True)
    return state


def _record(state: State, number: int, recorded: Recorded) -> State:
    if state.claim != Claim(number):
        return state
    return state._replace(claim=Claim(number, recorded))


def _move(state: State, index: int, stage: Stage) -> State:
    return _set(state, index, stage=stage)


def _set(state: State, index: int, **changes: Any) -> State:
    requests = list(state.requests)
    requests[index] = requests[index]._replace(**changes)
    return state._replace(requests=tuple(requests))


def _set_right(state: State, number: int, **changes: Any) -> State:
    rights = list(state.rights)
    rights[number] = rights[number]._replace(**changes)
    return state._replace(rights=tuple(rights))


def _map_rights(state: State, change) -> State:
    return state._replace(rights=tuple(map(change, state.rights)))


def _reduced(state: State, variant: Variant) -> State:
    """Return *state* with the values that nothing depends on any more reset.

    Two states that differ in such values only behave alike.
    """
    requests = tuple(
        _reduced_request(state, index, request)
        for index, request in enumerate(state.requests)
    )
    state = state._replace(requests=requests)
    rights = tuple(
        _reduced_right(state, number, right, variant)
        for number, right in enumerate(state.rights)
    )
    claim = state.claim
    if claim is not None and claim.recorded >= Recorded.DONE:
        claim = _FINAL_CLAIM
    return state._replace(claim=claim, rights=rights)


_FINAL_CLAIM = Claim(-1, Recorded.UNKNOWN)


def _reduced_request(state: State, index: int, request: Request) -> Request:
    if request.stage < Stage.ENDED:
        return request
    if request.used and (
        state.rights[_own(state, index)].write == Write.UNDER_WAY
    ):
        return request._replace(was_executed=False)
    return Request(request.stage)


def _reduced_right(
    state: State, number: int, right: Right, variant: Variant
) -> Right:
    if right.write == Write.NONE:
        return right
    index = 0 if number in state.plan[0] else 1
    request = state.requests[index]
    is_own = request.used > 0 and _own(state, index) == number
    is_waited_for = is_own and request.stage == Stage.WAITING
    if right.mail >= Mail.REFUSED and not is_waited_for:
        right = right._replace(mail=Mail.NONE)
    if not right.is_current and not variant.no_incarnation_check:
        right = right._replace(age=Age.PAST_RECORDS, entry=Entry.NONE)
    is_named = state.claim == Claim(number) or any(
        item.seen == Claim(number) for item in state.requests
    )
    is_active = is_own and request.stage < Stage.ENDED
    is_on_the_way = (
        right.mail == Mail.UNDER_WAY or right.write == Write.UNDER_WAY
    )
    if is_named or is_active or is_on_the_way:
        return right
    return Right(
        Write.CONFLICT, Age.PAST_RECORDS, False, executed=right.executed
    )
