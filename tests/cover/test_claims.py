"""The agent's ledger, unanswered platform writes and the keys of claims."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailhollow import errors
from wagtailhollow.internal.agent import ledger
from wagtailhollow.internal.claims import claims
from wagtailhollow.internal.store import api, confirmed_put
from wagtailhollow.internal.wire.gen import ttypes

STATES = ttypes.OutcomeState
STEP_MS = 7_500


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(st.sampled_from(['start', 'finish', 'ask', 'wait']), max_size=24)
)
def test_nonce_that_was_reported_as_not_run_never_starts(steps):
    """Guards against a tombstone that expires before a late dispatch."""
    now = [0]
    call_ledger = ledger.Ledger(lambda: now[0])
    ticket = ttypes.ClaimTicket('key', 'nonce', 0)
    started, is_reported_not_run = 0, False
    for step in steps:
        if step == 'wait':
            now[0] += STEP_MS
            call_ledger.expire()
        elif step == 'finish' and started:
            call_ledger.finish(ticket, ledger.Outcome(201, {}, b'answer'))
        elif step == 'ask':
            outcome = call_ledger.cancel_if_not_started(ticket)
            is_reported_not_run = (
                is_reported_not_run or outcome.state == STATES.NOT_RUN
            )
        elif step == 'start':
            try:
                call_ledger.start(ticket)
                started += 1
            except errors.Refusal as exc:
                may_have_run = errors.Execution.MAY_HAVE_RUN
                assert not started or exc.answer.execution is may_have_run
    assert started <= 1
    assert not (started and is_reported_not_run)


def test_bodies_in_the_ledger_are_bounded_and_their_calls_stay_done():
    """Guards against unbounded memory use by recorded answers."""
    call_ledger = ledger.Ledger(lambda: 0)
    tickets = [ttypes.ClaimTicket('key', str(n), 0) for n in range(20)]
    for ticket in tickets:
        call_ledger.start(ticket)
        call_ledger.finish(ticket, ledger.Outcome(201, {}, bytes(900_000)))
    outcomes = [
        call_ledger.cancel_if_not_started(ticket) for ticket in tickets
    ]
    assert all(item.state == STATES.DONE for item in outcomes)
    kept = sum(len(item.body or b'') for item in outcomes)
    assert 0 < kept <= ledger.MAX_TOTAL_BODY_BYTES


class Store:
    """An object store whose writes fail before or after their effect."""

    def __init__(self, fault):
        self.fault = fault
        self.found = None

    async def get(self, key):
        return self.found

    async def put(self, key, value, expected):
        if self.fault == 'before':
            raise api.PlatformUnavailable(key)
        if self.fault == 'other':
            self.found = api.StoredObject(key, 9, {'nonce': 'other'})
            raise api.PlatformUnavailable(key)
        self.found = api.StoredObject(key, 1, value)
        if self.fault == 'after':
            raise api.PlatformUnavailable(key)
        if self.fault == 'twice':
            raise api.Conflict(key)
        return self.found


@pytest.mark.parametrize(
    ('fault', 'expected'),
    [
        ('none', 1),
        ('after', 1),
        ('twice', 1),
        ('before', api.PlatformUnavailable),
        ('other', api.Conflict),
    ],
)
def test_outcome_of_a_write_without_an_answer_is_read_back(fault, expected):
    """Guards against a claim that was written but is treated as refused."""
    value = {'nonce': 'mine'}
    write = confirmed_put.confirmed_put(
        Store(fault), 'k', value, api.ABSENT, lambda item: item == value
    )
    if expected == 1:
        assert asyncio.run(write).version == 1
    else:
        with pytest.raises(expected):
            asyncio.run(write)


def test_different_callers_and_requests_have_different_keys_and_fingerprints():
    """Guards against the replay of another organisation's or service's answer.

    Keys that the caller sends must also differ from generated ones.
    """
    assert claims.object_key('a', 'k') != claims.object_key('b', 'k')
    assert claims.key_of_unkeyed_call('k') != 'k'
    parts = [('s', 'POST', '/p', b'x'), ('t', 'POST', '/p', b'x')]
    assert len({claims.fingerprint(*item) for item in parts}) == 2
