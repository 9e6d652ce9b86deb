"""Large objects of other writers in the store.

The failure: reading a page with such an object takes seconds, in which the
process does nothing else.
"""

from __future__ import annotations

import asyncio
import json
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.cover import test_platform_decoding as documents
from tests.cover.test_unreadable_objects import PageClient, item, raw, read
from wagtailhollow.internal.platform import manifest, pages, store, targets

SIZE = 1_000_000
MAX_DELAY_S = 0.5
"""How much longer than its time-out a call may take."""

LARGE = {
    'empty lists, not UTF-8': b'[%s"\xff"]' % (b'[],' * (SIZE // 3)),
    'empty lists': b'[%s0]' % (b'[],' * (SIZE // 3)),
    'deep': b'[' * (SIZE // 2) + b']' * (SIZE // 2),
    'commas in deep lists': b'[0,' * (SIZE // 4) + b'0' + b']' * (SIZE // 4),
    'many deep lists': b'[%s0]'
    % ((b'[' * 8 + b']' * 8 + b',') * (SIZE // 17)),
    'strings': b'[%s"\xff"]' % (b'"a",' * (SIZE // 4)),
    'one string': b'"%s"' % (b'\\"' * (SIZE // 2)),
    'digits': b'9' * SIZE,
    'objects': b'[%s0]' % (b'{"a":{"b":[1]}},' * (SIZE // 16)),
}


def page(kind, *specs):
    """Return a page of objects, or of events of them."""
    rows = [item(f'i-{number}', spec) for number, spec in enumerate(specs)]
    if kind == 'events':
        rows = [{'object': row, 'removed': False} for row in rows]
    return {kind: rows, 'store_revision': 9}


async def longest_delay(work):
    """Return the result of *work* and the longest delay of other tasks."""
    delays = [0.0]

    async def tick():
        while True:
            start_s = time.monotonic()
            await asyncio.sleep(0)
            delays.append(time.monotonic() - start_s)

    ticking = asyncio.create_task(tick())
    await asyncio.sleep(0)
    found = await work
    await asyncio.sleep(0)
    ticking.cancel()
    return found, max(delays)


@pytest.mark.parametrize('value', LARGE.values(), ids=LARGE)
@pytest.mark.parametrize('kind', ['items', 'events'])
def test_large_object_holds_nothing_up_and_hides_no_other(value, kind):
    """Guards against calls that wait for another writer's object."""
    sound = documents.SERVER
    text = raw(page(kind, sound, 'raw x', sound, 'raw x', sound), x=value)
    source = store.ObjectSource(PageClient(text), targets.KIND, targets.decode)
    work = source.read() if kind == 'items' else source.watch(5, 0.0)
    found, delay_s = asyncio.run(longest_delay(work))
    names = [name for name, record in found.documents.items() if record]
    assert names == ['i-0', 'i-2', 'i-4']
    assert delay_s < MAX_DELAY_S


@pytest.mark.parametrize('value', LARGE.values(), ids=LARGE)
def test_work_for_a_large_object_grows_with_its_bytes(value):
    """Guards against work that grows faster than what another sent."""

    def steps(count):
        text = raw(page('items', *['raw x'] * count), x=value)
        return sum(1 for _ in pages.decoding(text, pages.MAX_OBJECT_BYTES))

    assert steps(8) <= 2.5 * max(1, steps(4))


def test_large_manifest_is_read():
    """Guards against a limit that a manifest meets."""
    spec = documents.SPEC | {
        'routes': [
            documents.SPEC['routes'][0] | {'name': f'r-{number}'}
            for number in range(3_000)
        ]
    }
    text = json.dumps(
        {'items': [item('main', spec)], 'store_revision': 5}
    ).encode()
    assert SIZE * 0.9 < len(text) < manifest.MAX_OBJECT_BYTES
    assert len(read(text, manifest)['main'].routes) == 3_000


def test_withdrawal_with_a_large_value_holds():
    """Guards against a limit that ends a withdrawal."""
    text = raw(page('items', 'raw x'), x=LARGE['empty lists'])
    source = store.ObjectSource(
        PageClient(text), 'evacuations', manifest.decode_withdrawal
    )
    assert asyncio.run(source.read()).documents == {'i-0': True}


def test_page_of_many_registrations_is_read():
    """Guards against a limit on a page in place of its objects."""
    specs = [
        documents.SERVER | {'address': f'10.1.{n // 250}.{n % 250}:80'}
        for n in range(500)
    ]
    text = json.dumps(page('items', *specs)).encode()
    assert len(text) > pages.MAX_OBJECT_BYTES
    assert len(read(text)) == 500


@given(
    st.recursive(
        st.sampled_from([0, 'a"]', '\\', '{', None]),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from('ab]'), inner, max_size=2)
        ),
        max_leaves=30,
    ),
    st.integers(0, 12),
)
def test_value_is_skipped_to_its_end(value, depth):
    """Guards against the same with values that are nested."""
    for _ in range(depth):
        value = [value, 0]
    text = json.dumps(value).encode()
    reader = pages._Page(text + b',"x"]', 1)
    for _ in reader._skip_value():
        pass
    assert reader._at == len(text)
