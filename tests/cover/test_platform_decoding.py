"""Decoding of the platform's documents."""

from __future__ import annotations

import asyncio
import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st

from standins import direct_deployment
from wagtailhollow.internal.directory import changes, model
from wagtailhollow.internal.entry.direct import compose
from wagtailhollow.internal.platform import (
    engine,
    manifest,
    prompts,
    settings,
    store,
    targets,
)

SPEC = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'host': 'a.example',
            'path_prefix': '/x/',
            'kind': 'streaming',
            'timeout_ms': 8000,
            'target_latency_ms': 502,
            'priority': 1,
            'traffic_split': [
                {'service': 's', 'weight': 90},
                {'service': 't', 'weight': 10},
            ],
            'max_attempts': 2,
            'public': False,
            'sticky': True,
            'resumable': True,
            'target_gap_ms': 120,
        },
        {
            'name': 'r2',
            'host': 'a.example',
            'path_prefix': '/x/y/',
            'kind': 'unsafe',
            'timeout_ms': 1000,
            'service': 't',
            'public': True,
        },
    ],
    'services': [
        {
            'name': 's',
            'health_path': '/healthz',
            'max_conns': 816,
            'cold_start_s': 3.0,
            'cold_per_s': 36.0,
            'engine': {
                'slots': 6,
                'kv_capacity': 140000,
                'link_mbps': 92000.0,
                'stride': 4,
                'step_ms': 4.55,
                'per_seq_ms': 1.81,
                'context_per_k': 0.0366,
                'read_per_s': 61400.0,
                'usual': {'prompt': 835, 'answer': 97},
                'sets': 6,
                'experts': 64,
                'places': 11,
                'spare': 4,
                'expert_mb': 1700.0,
                'expert_share': 0.85,
            },
        },
        {'name': 't'},
    ],
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 4194304,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 15000,
    },
    'tenants': [
        {'name': 'org', 'api_keys': ['k1', 'k2'], 'priority': 1},
    ],
}

SERVER = {
    'service': 's',
    'address': '10.1.0.9:8080',
    'zone': 'dc-1',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 1500,
    'born': 1788078915000,
    'seq': 4,
}


def test_manifest_is_decoded():
    """Guards against reading a field by the wrong name or in a wrong unit."""
    decoded = manifest.decode('main', 12, SPEC)
    stream, once = decoded.routes
    assert stream.kind is model.CallKind.STREAM
    assert (stream.timeout_s, stream.objective_s) == (8.0, 0.502)
    assert stream.may_repeat and stream.max_attempts == 2
    assert [share.weight for share in stream.shares] == [90.0, 10.0]
    assert once.kind is model.CallKind.ONCE and not once.may_repeat
    assert once.shares == (model.ServiceShare('t', 1.0),)
    experts = decoded.services['s'].engine.experts
    assert (experts.layers, experts.places) == (6, 11)
    assert experts.load_s == pytest.approx(0.148, abs=0.001)
    assert decoded.organisations['k2'].name == 'org'
    assert decoded.limits.idle_timeout_s == 15.0


def test_manifest_without_organisations_requires_no_key():
    """Guards against refusing calls where no organisation has a key."""
    spec = {name: SPEC[name] for name in SPEC if name != 'tenants'}
    assert manifest.decode('main', 1, spec).organisations is None


def test_registration_is_decoded():
    """Guards against incarnations that cannot be told apart."""
    record = targets.decode('i-1', 3, SERVER)
    assert record.incarnation == ('i-1', 1788078915000)
    assert record.state is model.TargetState.READY
    assert record.cold_s == 1.5


def items(spec):
    return [{'metadata': {'name': 'i-1', 'revision': 3}, 'spec': spec}]


class PagedClient:
    """Store client that returns given pages."""

    def __init__(self, *pages):
        self.pages = list(pages)
        self.queries = []

    async def get(self, kind, query, wait_s=0.0):
        self.queries.append(dict(query))
        return self.pages.pop(0)


def read(*pages):
    client = PagedClient(*pages)
    source = store.ObjectSource(client, 'servers', targets.decode)
    return client, asyncio.run(source.read())


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


@given(st.sampled_from(sorted(SERVER)), json_values)
def test_registration_is_skipped_or_valid(name, value):
    """Guards against an invalid registration that stops the watch."""
    spec = copy.deepcopy(SERVER) | {name: value}
    _, listing = read({'items': items(spec), 'store_revision': 5})
    for record in listing.documents.values():
        assert isinstance(record.service, str)
        assert record.slots >= 1
        assert record.address.rpartition(':')[2].isdigit()


@given(json_values)
def test_malformed_object_is_skipped(value):
    """Guards against an exception for an object of unknown structure."""
    _, listing = read({'items': [value], 'store_revision': 5})
    assert listing.documents == {}


def test_listing_reads_all_pages():
    """Guards against ignoring the targets of all pages but the first."""
    second = {'metadata': {'name': 'i-2', 'revision': 4}, 'spec': SERVER}
    client, listing = read(
        {'items': items(SERVER), 'has_more': True, 'store_revision': 5},
        {'items': [second], 'has_more': False, 'store_revision': 9},
    )
    assert sorted(listing.documents) == ['i-1', 'i-2']
    assert client.queries == [{}, {'after': 'i-1'}]
    # A watch from the first page's revision returns the changes since.
    assert listing.revision == 5


def test_unreadable_end_of_a_page_does_not_repeat_it():
    """Guards against reading the same page for ever."""
    broken = {'metadata': {'name': 'i-2', 'revision': None}, 'spec': SERVER}
    third = {'metadata': {'name': 'i-3', 'revision': 4}, 'spec': SERVER}
    client, listing = read(
        {
            'items': [*items(SERVER), broken, {'metadata': None}],
            'has_more': True,
            'store_revision': 5,
        },
        {'items': [third], 'store_revision': 9},
    )
    assert sorted(listing.documents) == ['i-1', 'i-3']
    assert client.queries == [{}, {'after': 'i-2'}]


def test_page_without_readable_names_ends_the_listing():
    """Guards against the same with a page of nothing but such objects."""
    page = {'items': [{'metadata': {}}], 'has_more': True, 'store_revision': 5}
    with pytest.raises(changes.SourceUnavailable):
        read(*[page] * 5)


def test_watch_distinguishes_removed_from_changed():
    """Guards against calls to a target that has deregistered."""
    gone = {'metadata': {'name': 'i-2', 'revision': 7}, 'spec': SERVER}
    client = PagedClient(
        {
            'events': [
                {'object': items(SERVER)[0], 'removed': False},
                {'object': gone, 'removed': True},
            ],
            'store_revision': 8,
        }
    )
    source = store.ObjectSource(client, 'servers', targets.decode)
    decoded = asyncio.run(source.watch(6, 1.5))
    assert decoded.documents['i-1'].service == 's'
    assert decoded.documents['i-2'] is None
    assert client.queries == [{'watch': 6, 'wait_ms': 1500}]


@pytest.mark.parametrize(
    ('status', 'error'),
    [
        (410, changes.HistoryGone),
        (503, changes.SourceUnavailable),
        (429, changes.SourceUnavailable),
    ],
)
def test_error_statuses_of_the_store_are_distinguished(status, error):
    """Guards against taking a pruned history for an outage."""
    with pytest.raises(error):
        asyncio.run(store._decode_response('servers', status, b'{}'))


def test_settings_error_names_the_missing_field():
    """Guards against an error that does not name the missing field."""
    with pytest.raises(KeyError, match='node_name'):
        settings.decode({'internal_ports': [1, 2]})


def test_report_of_an_engine_without_a_group_is_none(monkeypatch):
    """Guards against an agent that fails on the host of a plain service."""
    client = engine.EngineClient('127.0.0.1:1')

    async def answer(path):
        return {'running': 1}

    monkeypatch.setattr(client, '_query', answer)
    assert asyncio.run(client.report()) is None


@pytest.mark.parametrize(
    ('files', 'least', 'most'),
    [(1124, 500, 700), (1535, 800, 1000), (8192, 5000, 5500)],
)
def test_caller_connections_follow_from_the_descriptors(files, least, most):
    """Guards against a limit that fits the hosts of one deployment only."""
    assert least <= compose.max_caller_connections(files) <= most


@pytest.mark.parametrize(
    ('limits', 'message'),
    [({'link_mbps': 0}, 'link_mbps'), ({'max_fds': -1}, 'max_fds')],
)
def test_limits_of_a_host_are_checked(limits, message):
    """Guards against a division by a bandwidth of zero."""
    row = direct_deployment.host_settings('127.0.0.1:1', '127.0.0.1')
    with pytest.raises(ValueError, match=message):
        settings.decode(row | {'limits': limits})


def test_bandwidth_and_descriptors_of_a_host_are_decoded():
    """Guards against limits that are assumed although the settings tell."""
    row = direct_deployment.host_settings('127.0.0.1:1', '127.0.0.1')
    limits = {'link_mbps': 3.0, 'max_fds': 4100}
    found = settings.decode(row | {'limits': limits})
    assert (found.link_bytes_per_s, found.max_files) == (375_000, 4100)


def test_bounds_of_the_deployment_are_decoded():
    """Guards against watches that are too long for a bound."""
    row = direct_deployment.host_settings(
        '127.0.0.1:1',
        '127.0.0.1',
        stable_window_ms=5000,
        config_apply_ms=4000,
        drain_ms=3000,
        evacuate_ms=6000,
    )
    bounds = settings.decode(row).bounds
    assert (bounds.settle_s, bounds.apply_s) == (5.0, 4.0)
    assert (bounds.drain_s, bounds.withdraw_s) == (3.0, 6.0)


def test_bounds_are_checked():
    """Guards against a watch of a negative time."""
    row = direct_deployment.host_settings(
        '127.0.0.1:1', '127.0.0.1', drain_ms=0
    )
    with pytest.raises(ValueError, match='drain_ms'):
        settings.decode(row)


@pytest.mark.parametrize(
    ('value', 'parts'),
    [
        (b'5c1e07a2:800,91bd3f06:410,e4402b7d:250', ('5c1e07a2', '91bd3f06')),
        (b'5c1e07a2:800, 91bd3f06 ,5c1e07a2:1,x:2', ('5c1e07a2', '91bd3f06')),
        (b',:7,a:1,,b:1', ('a',)),
        (b'e4402b7d:250', ()),
        (b'', ()),
        (b'\xff\x00:1,b:1', ('\xff\x00',)),
    ],
)
def test_last_part_of_a_prompt_is_not_shared(value, parts):
    """Guards against judging a session's own part like a shared one."""
    assert prompts.shared_parts(value) == parts


def test_number_of_prompt_parts_is_bounded():
    """Guards against a header that makes each call expensive."""
    value = b','.join(b'%x:1' % number for number in range(5000))
    assert len(prompts.shared_parts(value)) == prompts.MAX_PARTS
