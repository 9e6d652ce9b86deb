"""Specification of key withdrawal at an entry that is suspended or isolated.

An operator withdraws a key at some time. The entry asks the store whether its
copy of the keys is current; the answer may arrive late, reflect any time since
the query, or never arrive. The entry may be suspended at any time, which a
monotonic clock may not count. It serves a request if its copy contains the
key and was verified within the bound. See ``freshness.Freshness`` and
``follow.Follower``.
"""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterator

import minicheck

from . import verdicts

BOUND = 2
"""Longest time after its withdrawal for which a key may be served."""

END_TIME = 7
"""Time at which the search ends: more than three times the bound."""

PROPERTY = 'no request is served after the bound'


@dataclasses.dataclass(frozen=True)
class Variant:
    """Parameters of the model; a variant with a False value is naive.

    :ivar count_suspension: the entry's clock includes time spent suspended.
    :ivar from_question: the age of a verification counts from the sending of
        the query, not from the arrival of the answer.
    :ivar check_age: requests are refused when the verification is too old.
    """

    count_suspension: bool = True
    from_question: bool = True
    check_age: bool = True


@dataclasses.dataclass(frozen=True)
class State(verdicts.FrozenState):
    """State of time, the store and the entry.

    :ivar now: real time.
    :ivar frozen_time: time spent suspended that the entry's clock omits.
    :ivar withdrawn: when the key was withdrawn, or None.
    :ivar has_key: whether the entry's copy contains the key.
    :ivar verified_at: time from which the age of the last verification
        counts, by the entry's clock.
    :ivar query_sent_at: when the outstanding query was sent, by the entry's
        clock, or None.
    :ivar answer_has_key: whether the store's answer in flight contains the
        key, or None.
    :ivar is_served_late: whether a request was served after the bound.
    """

    now: int = 0
    frozen_time: int = 0
    withdrawn: int | None = None
    has_key: bool = True
    verified_at: int = 0
    query_sent_at: int | None = None
    answer_has_key: bool | None = None
    is_served_late: bool = False


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    return verdicts.protocol(
        'key withdrawal',
        State(),
        lambda state: _transitions(variant, state),
        PROPERTY,
        lambda state: not state.is_served_late,
    )


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    if state.now < END_TIME:
        yield 'time passes', state.replace(now=state.now + 1)
        if not variant.count_suspension:
            yield (
                'frozen',
                state.replace(
                    now=state.now + 1, frozen_time=state.frozen_time + 1
                ),
            )
    if state.withdrawn is None:
        yield 'withdraw', state.replace(withdrawn=state.now)
    clock = state.now - state.frozen_time
    if state.query_sent_at is None:
        yield 'ask', state.replace(query_sent_at=clock)
    elif state.answer_has_key is None:
        yield (
            'store answers',
            state.replace(answer_has_key=state.withdrawn is None),
        )
    else:
        verified_at = state.query_sent_at if variant.from_question else clock
        yield (
            'answer arrives',
            state.replace(
                has_key=state.answer_has_key,
                verified_at=verified_at,
                query_sent_at=None,
                answer_has_key=None,
            ),
        )
    is_fresh = clock - state.verified_at <= BOUND or not variant.check_age
    if state.has_key and is_fresh:
        is_late = (
            state.withdrawn is not None and state.now > state.withdrawn + BOUND
        )
        yield (
            'serve',
            state.replace(is_served_late=state.is_served_late or is_late),
        )


CHECKED = (Variant(),)
NAIVE = (
    Variant(count_suspension=False),
    Variant(from_question=False),
    Variant(check_age=False),
)


def check(variant: Variant) -> dict:
    """Return the verdict for requests with a withdrawn key."""
    return verdicts.check(protocol(variant), PROPERTY)


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
