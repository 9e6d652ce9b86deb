"""Encoding of datagrams between hosts, and malformed datagrams."""

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
_THRIFT_TYPES = {
    'i64': TType.I64,
    'i32': TType.I32,
    'bool': TType.BOOL,
    'string': TType.STRING,
    'binary': TType.STRING,
}


@pytest.mark.parametrize(
    'cls', messages.MESSAGE_TYPES, ids=lambda cls: cls.__name__
)
def test_structs_match_the_idl(cls):
    """Guards against structs that differ from ``deploy/hosts.thrift``."""
    text = re.search(
        rf'struct {cls.__name__} {{(.*?)}}', IDL.read_text(), re.S
    )
    declared = [
        (int(number), _THRIFT_TYPES[kind], name)
        for number, kind, name in re.findall(
            r'(\d+): (\w+) (\w+),', text.group(1)
        )
    ]
    assert declared == [field[:3] for field in cls.thrift_spec[1:]]


def test_message_round_trip():
    """Guards against fields that are lost by the encoding."""
    codec = endpoint.Endpoint(messages.MESSAGE_TYPES)
    sent = messages.RankStatus(
        term=513, group='g0', rank=3, is_open=True, experts=b'\x02\x01\xff'
    )
    found = codec.decode(codec.encode(sent))
    assert vars(found) == vars(sent)


@given(st.binary(max_size=200))
def test_malformed_datagram_raises_value_error(data):
    """Guards against a malformed datagram that codec the process."""
    codec = endpoint.Endpoint(messages.MESSAGE_TYPES)
    try:
        found = codec.decode(data)
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
def test_map_round_trip(experts):
    """Guards against ranks that unpack different expert maps."""
    assert packing.unpack_map(packing.pack_map(experts)) == experts


@given(st.binary(max_size=60))
def test_malformed_map_raises_value_error(data):
    """Guards against an exception that callers do not expect."""
    try:
        packing.unpack_map(data)
    except ValueError:
        return


@given(st.lists(st.integers(0, 10**7), min_size=1, max_size=64))
def test_packed_counts_are_within_the_rounding_error(counts):
    """Guards against a packing that distorts small counts."""
    found = packing.unpack_counts(packing.pack_counts(counts))
    allowed = max(max(counts) / 255, 1)
    for before, after in zip(counts, found, strict=True):
        assert abs(before - after) <= allowed
