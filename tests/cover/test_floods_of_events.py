"""Streams of more events than an engine makes.

The failure: the work for a stream grows with its events, and an entry that
takes as many as are sent has no time left for other calls.
"""

from __future__ import annotations

import itertools

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario
from tests.cover.test_log_of_cut_answers import events as logged
from wagtailhollow.internal.entry.direct import events
from wagtailhollow.internal.observability import metrics

_FIXTURES = (logged,)
FLOODS = direct_deployment.FLOODS


def event(number):
    return b'id: %d\ndata: %d\n\n' % (number, number)


async def is_whole(call):
    """Return whether a call ends as a complete success."""
    try:
        async with call as resp:
            await resp.read()
            return resp.status == 200
    except aiohttp.ClientError:
        return False


@pytest.mark.parametrize('flood', FLOODS)
def test_stream_of_too_many_events_fails_and_the_next_is_served(flood, logged):
    """Guards against a stream of events without end that is relayed."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.MODEL_SERVICE, flood)
        counted = metrics.unusable_input.labels('answer_unusable')._value
        before = counted.get()
        assert not await is_whole(site.call('stream', 'r1'))
        assert counted.get() == before + 2
        for name in ('r2', 'r3'):
            async with site.call('stream', name) as resp:
                assert await resp.read() == direct_deployment.STREAM

    run_scenario(scenario)
    reasons = [
        fields['reason']
        for name, fields in logged
        if name == 'answer_unusable'
    ]
    assert len(reasons) == 2
    assert all(' events within ' in reason for reason in reasons)


def test_stream_of_too_many_events_is_resumed_elsewhere():
    """Guards against a caller that gets the flood in place of its answer."""

    async def scenario(site):
        engine, _ = site.engines_of(direct_deployment.MODEL_SERVICE)
        engine.behaviours = ['empty lines']
        for number in itertools.count():
            async with site.call('stream', f'r{number}') as resp:
                body = await resp.read()
            assert body.lstrip(b'\n') == direct_deployment.STREAM
            if engine.received:
                return

    run_scenario(scenario)


def test_empty_lines_do_not_keep_a_silent_stream():
    """Guards against a target that is waited for without any event."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.MODEL_SERVICE, 'lines')
        async with site.call('stream', X_Deadline_Ms='20000') as resp:
            body = await resp.read()
        assert body.replace(b'\n\n\n\n', b'') == direct_deployment.STREAM

    run_scenario(scenario, timeout_ms=20_000)


def test_events_of_a_frozen_host_are_relayed_at_once():
    """Guards against a bound that sound engines meet after a pause."""
    position = events.EventPosition()
    text = b''.join(map(event, range(1, 10_001)))
    assert position.feed(text, elapsed_s=6.0) == text
    with pytest.raises(events.TooManyEvents):
        position.feed(event(10_001) * 100, elapsed_s=6.0)
    position.begin_attempt()
    assert position.feed(event(10_001)) == event(10_001)


def test_ids_of_many_digits_are_compared():
    """Guards against an exception for ids that no integer can hold."""
    position = events.EventPosition()
    low, high = (
        b'id: 1%s\n\n' % (b'0' * 9_000),
        b'id: 2%s\n\n' % (b'0' * 9_000),
    )
    assert position.feed(low + high) == low + high
    assert position.feed(low + high) == b''


ids = st.sampled_from([b'', b'0', b'1', b'02', b'3', b'10', b'x', b'9'])
fields = st.sampled_from([b'', b':', b'data: y', b'idle', b'data: id: 1'])
blocks = st.builds(
    lambda event_id, field, has_id: (
        b'\n'.join(
            [*([b'id: ' + event_id] if has_id else []), field or b'data']
        )
        + b'\n\n'
    ),
    ids,
    fields,
    st.booleans(),
)


def without_duplicates(found, last_id):
    """Return the events that are new, decided for one at a time."""
    sent = b''
    for block in found:
        (event_id,) = [
            line[3:].strip()
            for line in block.split(b'\n')
            if line.startswith(b'id:')
        ][-1:] or [None]
        if event_id is not None:
            if (
                event_id.isdigit()
                and last_id.isdigit()
                and int(event_id) <= int(last_id)
            ):
                continue
            last_id = event_id
        sent += block
    return sent


@given(st.lists(blocks, max_size=8), st.integers(0, 200), st.booleans())
def test_events_are_new_or_dropped(found, cut, is_resumed):
    """Guards against lost or repeated events where many are read at once."""
    text = b''.join(found)
    position = events.EventPosition(b'2' if is_resumed else b'')
    if not is_resumed:
        position.feed(event(2))
    cut %= len(text) + 1
    sent = position.feed(text[:cut]) + position.feed(text[cut:])
    assert sent == without_duplicates(found, b'2')
