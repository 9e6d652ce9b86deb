"""Messages between hosts: their form, and bytes that are none."""

from __future__ import annotations

import pathlib
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st
from thrift.Thrift import TType

from wagtailhollow.internal.datagram import endpoint, messages
from wagtailhollow.internal.experts.live import packing

IDL = pathlib.Path(__file__).parents[2] / 'deploy' / 'hosts.thrift'
_TYPES = {
    'i64': TType.I64,
    'i32': TType.I32,
    'bool': TType.BOOL,
    'string': TType.STRING,
    'binary': TType.STRING,
}


@pytest.mark.parametrize(
    'cls', messages.MESSAGE_TYPES, ids=lambda cls: cls.__name__
)
def test_structs_match_their_description(cls):
    """Guards against a description that other tools cannot rely on."""
    text = re.search(
        rf'struct {cls.__name__} {{(.*?)}}', IDL.read_text(), re.S
    )
    described = [
        (int(number), _TYPES[kind], name)
        for number, kind, name in re.findall(
            r'(\d+): (\w+) (\w+),', text.group(1)
        )
    ]
    assert described == [field[:3] for field in cls.thrift_spec[1:]]


def test_message_survives_its_encoding():
    """Guards against fields that are lost on the way."""
    ends = endpoint.Endpoint(messages.MESSAGE_TYPES)
    sent = messages.RankStatus(
        term=513, group='g0', rank=3, is_open=True, experts=b'\x02\x01\xff'
    )
    found = ends.decode(ends.encode(sent))
    assert vars(found) == vars(sent)


@given(st.binary(max_size=200))
def test_bytes_that_are_no_message_are_told(data):
    """Guards against a datagram that ends a process."""
    ends = endpoint.Endpoint(messages.MESSAGE_TYPES)
    try:
        found = ends.decode(data)
    except ValueError:
        return
    assert type(found) in messages.MESSAGE_TYPES


ranks = st.lists(
    st.lists(
        st.lists(st.integers(0, 255), max_size=12), min_size=2, max_size=2
    ),
    min_size=1,
    max_size=32,
)


@given(ranks)
def test_map_survives_its_packing(experts):
    """Guards against a map that differs between two ranks."""
    assert packing.unpack_map(packing.pack_map(experts)) == experts


@given(st.binary(max_size=60))
def test_bytes_that_are_no_map_are_told(data):
    """Guards against an order with a map that nobody planned."""
    try:
        packing.unpack_map(data)
    except ValueError:
        return


@given(st.lists(st.integers(0, 10**7), min_size=1, max_size=64))
def test_packed_counts_keep_their_shares(counts):
    """Guards against counts whose small shares vanish or grow."""
    found = packing.unpack_counts(packing.pack_counts(counts))
    allowed = max(max(counts) / 255, 1)
    for before, after in zip(counts, found, strict=True):
        assert abs(before - after) <= allowed
