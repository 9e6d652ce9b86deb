"""What the log says of answers that end early."""

from __future__ import annotations

import logging

import aiohttp
import pytest

from standins import direct_deployment
from tests.cover.test_direct_entry import run_scenario
from wagtailhollow.internal.observability import decisions


@pytest.fixture
def events():
    """Return the list of events and fields that are logged."""
    found = []

    def observe(event, fields):
        found.append((event, dict(fields)))

    decisions.observers.append(observe)
    yield found
    decisions.observers.remove(observe)


def test_cut_stream_leaves_a_line_with_its_id(events):
    """Guards against cut streams that no line of the log names."""

    async def scenario(site):
        site.set_behaviours(direct_deployment.MODEL_SERVICE, 'break', 'break')
        async with site.call('stream', 'r-cut') as resp:
            with pytest.raises(aiohttp.ClientPayloadError):
                await resp.read()

    run_scenario(scenario)
    (fields,) = [fields for event, fields in events if event == 'cut']
    assert fields['request_id'] == 'r-cut'
    assert fields['kind'] == 'answer_incomplete'
    assert fields['events'] > 0
    assert 0 <= fields['body_s'] <= fields['took_s']
    assert fields['stopping_s'] is None


def test_logged_exception_has_no_second_line(capfd):
    """Guards against tracebacks for events that have a line of their own."""
    log = decisions.DecisionLog()
    handler = decisions.LogRecordHandler(log)
    for exc in (decisions.AlreadyLogged('first'), ValueError('second')):
        handler.emit(
            logging.LogRecord(
                'x', logging.ERROR, '', 0, 'failed', (), (type(exc), exc, None)
            )
        )
    lines = capfd.readouterr().out.splitlines()
    assert len(lines) == 1 and 'second' in lines[0]
