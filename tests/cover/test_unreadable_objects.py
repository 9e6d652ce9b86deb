"""Objects of other writers in the store that cannot be read.

The failure: one such object among those of the engines makes a whole page
unreadable or ends the task that follows it, and calls go on to engines that
have left.
"""

from __future__ import annotations

import asyncio
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins import direct_deployment
from tests.cover import test_platform_decoding as decoding
from tests.cover.test_direct_entry import run_scenario
from wagtailhollow.internal.directory import changes, follow
from wagtailhollow.internal.http1 import connection
from wagtailhollow.internal.platform import manifest, pages, store, targets

UNREADABLE = {
    'nested': b'[' * 100_000 + b']' * 100_000,
    'digits': b'9' * 5_000,
    'bytes': b'"Gy\xf5r"',
}
ALL_FIELDS = ['seq', 'slots', 'address', 'cold_left_ms']


def raw(document, **values):
    """Encode a document; ``"raw NAME"`` stands for a value's bytes."""
    text = json.dumps(document).encode()
    for name, value in values.items():
        text = text.replace(json.dumps(f'raw {name}').encode(), value)
    return text


def item(name, spec=None, /, **metadata):
    row = {'metadata': {'name': name, 'revision': 3} | metadata}
    return row | {'spec': spec or decoding.SERVER}


class PageClient:
    """Store client whose responses are texts."""

    def __init__(self, *texts):
        self.texts = list(texts)

    async def get(self, kind, query, wait_s=0.0):
        return await store._decode_response(kind, 200, self.texts.pop(0))


def read(text, kind=targets):
    source = store.ObjectSource(PageClient(text), kind.KIND, kind.decode)
    return asyncio.run(source.read()).documents


@pytest.mark.parametrize('value', UNREADABLE.values(), ids=UNREADABLE)
@pytest.mark.parametrize('field', ALL_FIELDS)
def test_unreadable_value_hides_only_its_object(value, field):
    """Guards against a listing that one value makes unreadable."""
    odd = item('i-2', decoding.SERVER | {field: 'raw x'})
    page = {
        'items': [item('i-1'), odd, item('i-3')],
        'has_more': False,
        'store_revision': 5,
    }
    assert sorted(read(raw(page, x=value))) == ['i-1', 'i-3']


@pytest.mark.parametrize('value', UNREADABLE.values(), ids=UNREADABLE)
@pytest.mark.parametrize('field', ['revision', 'finalizers', 'name'])
def test_unreadable_metadata_hide_at_most_their_object(value, field):
    """Guards against the same by the store's own fields of an object."""
    page = {
        'items': [item('i-1'), item('i-2', **{field: 'raw x'})],
        'store_revision': 5,
    }
    assert sorted(read(raw(page, x=value)))[0] == 'i-1'


@pytest.mark.parametrize('value', UNREADABLE.values(), ids=UNREADABLE)
def test_object_that_turns_unreadable_is_removed(value):
    """Guards against an engine that is used after another wrote over it."""
    events = [
        {'object': item('i-1'), 'removed': False},
        {
            'object': item('i-2', decoding.SERVER | {'seq': 'raw x'}),
            'removed': False,
        },
        {'object': item('i-3'), 'removed': True},
    ]
    page = raw({'events': events, 'store_revision': 9}, x=value)
    source = store.ObjectSource(PageClient(page), targets.KIND, targets.decode)
    found = asyncio.run(source.watch(5, 0.0))
    assert found.documents['i-1'].service == 's'
    assert found.documents['i-2'] is None and found.documents['i-3'] is None
    assert found.revision == 9


@pytest.mark.parametrize('value', UNREADABLE.values(), ids=UNREADABLE)
def test_other_objects_of_other_kinds_hold(value):
    """Guards against manifests and withdrawals that such objects hide."""
    page = {
        'items': [item('main', decoding.SPEC), item('x', {'a': 'raw x'})],
        'store_revision': 5,
    }
    found = read(raw(page, x=value), manifest)
    assert found['main'].version == decoding.SPEC['version']
    source = store.ObjectSource(
        PageClient(raw(page, x=value)),
        'evacuations',
        manifest.decode_withdrawal,
    )
    # A withdrawal holds whatever it says.
    assert asyncio.run(source.read()).documents == {'main': True, 'x': True}


@pytest.mark.parametrize(
    'fields',
    [
        {'address': '10.1.0.9:65536'},
        {'address': '10.1.0.9:0'},
        {'address': '10.1.0.9:8²'},
        {'address': 'host.example:80'},
        {'address': '10.1.0.999:80'},
        {'slots': 10**400},
        {'cold_left_ms': float('inf')},
        {'cold_left_ms': 10**400},
        {'state': 'odd'},
        {'service': ['s']},
        {'slots': True},
        {'seq': [4]},
        {'born': 'x'},
        {'cold_left_ms': '5'},
        {'zone': {}},
    ],
    ids=str,
)
def test_registration_out_of_range_names_no_target(fields):
    """Guards against calls that such a value makes fail."""
    page = {
        'items': [item('i-1'), item('i-2', decoding.SERVER | fields)],
        'store_revision': 5,
    }
    assert sorted(read(raw(page))) == ['i-1']


@pytest.mark.parametrize(
    'page',
    [
        b'',
        b'[]',
        b'{"items":[',
        b'{"items":[]}',
        b'{"items":[],"store_revision":"x"}',
        b'{"items":7,"store_revision":5}',
        b'{"store_revision":5,"items":[]}]',
        UNREADABLE['nested'],
    ],
)
def test_unreadable_page_counts_as_no_answer(page):
    """Guards against exceptions that end the task of a follower."""
    with pytest.raises(changes.SourceUnavailable):
        read(page)


def split(text):
    """Read a page object by object, whatever its size."""
    *_, page = returned(pages._Page(text, len(text)).read())
    return page


def returned(steps):
    """Yield what a generator yields and then what it returns."""
    yield (yield from steps)


@given(st.lists(decoding.json_values, max_size=4), st.integers(0, 2**63))
def test_pages_are_split_as_json_is_read(values, revision):
    """Guards against another meaning of a page that is split."""
    page = {
        'items': [
            {'metadata': {'name': str(number), 'x': value}, 'spec': value}
            for number, value in enumerate(values)
        ],
        'has_more': True,
        'store_revision': revision,
    }
    for indent in (None, 2):
        text = json.dumps(page, indent=indent).encode()
        assert json.dumps(split(text)) == json.dumps(page)


def test_failure_of_a_follower_is_told_and_overcome():
    """Guards against a task that ends for good while the process is ready."""

    class Source:
        async def read(self):
            return changes.Listing({'a': 1}, 1)

        async def watch(self, revision, wait_s):
            await asyncio.sleep(0.01)
            return changes.Changes({'a': 2}, revision + 1)

    applied = []
    states = []

    def apply(update):
        states.append(follower.is_broken)
        applied.append(dict(update.documents))
        if len(applied) == 2:
            raise KeyError('x')

    follower = follow.Follower('test', Source(), apply, 0.01)

    async def scenario():
        task = asyncio.create_task(follower.run())
        async with asyncio.timeout(5):
            while len(applied) < 4:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(scenario())
    assert applied[2:4] == [{'a': 1}, {'a': 2}]
    assert states[:4] == [False, False, True, False]


def test_entry_that_cannot_follow_a_source_is_not_ready():
    """Guards against an entry that serves with an old list unnoticed."""

    async def scenario(site):
        assert await site.readiness() == 200
        site.entry._followers[1].is_broken = True
        assert await site.readiness() == 503

    run_scenario(scenario)


def test_port_out_of_range_is_a_failed_connection():
    """Guards against an unexpected exception in a call."""

    async def scenario():
        with pytest.raises(connection.ConnectFailed):
            await connection.HttpConnection.open('127.0.0.1:70000', 1.0)

    asyncio.run(scenario())


def test_odd_registrations_do_not_disturb_calls():
    """Guards against calls that fail beside an odd entry among the engines."""

    async def scenario(site):
        (engine, _) = site.engines_of(direct_deployment.PLAIN_SERVICE)
        for number, fields in enumerate(
            ({'address': '127.0.0.1:70000'}, {'slots': 10**400}, {'born': 'x'})
        ):
            site.store.put(
                'servers', f'x-{number}', engine.registration(**fields)
            )
        await asyncio.sleep(0.2)
        for number in range(8):
            async with site.call('once', f'r{number}') as resp:
                assert resp.status == 200

    run_scenario(scenario)


def test_registrations_of_an_unknown_service_do_not_disturb_calls():
    """Guards against calls that fail beside such objects at the addresses."""

    async def scenario(site):
        engines = site.engines_of(direct_deployment.PLAIN_SERVICE)
        for number, engine in enumerate(engines):
            later_ms = engine.registration()['born'] + 30_000
            other = engine.registration(service='unknown', born=later_ms)
            site.store.put('servers', f'x-{number}', other)
        await asyncio.sleep(0.2)
        for number in range(8):
            async with site.call('once', f'r{number}') as resp:
                assert resp.status == 200

    run_scenario(scenario)
