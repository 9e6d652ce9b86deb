"""Encoding of datagrams between hosts, and malformed datagrams."""

from __future__ import annotations

import pathlib
import random
import re
import zlib

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
    assert declared == [field[:3] for field in cls.thrift_spec if field]


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


def maps(rows, min_ranks=1, max_ranks=32):
    return st.lists(
        st.lists(rows, min_size=2, max_size=2),
        min_size=min_ranks,
        max_size=max_ranks,
    )


def packed(experts):
    return tuple(map(packing.pack_rank, experts))


@given(maps(st.lists(st.integers(0, 65_535), max_size=12)))
def test_map_round_trip(experts):
    """Guards against ranks that unpack different expert maps."""
    found = packing.unpack_map(packing.pack_map(packed(experts)))
    assert list(map(packing.unpack_rank, found)) == experts


SETS = st.sets(st.integers(0, 300), max_size=5).map(sorted)


@given(maps(SETS, 6, 6), maps(SETS, 6, 6))
def test_moves_lead_from_one_map_to_the_other(before, after):
    """Guards against an agent that builds another map than the coordinator."""
    moves = packing.pack_moves(packed(before), packed(after))
    assert packing.apply_moves(packed(before), moves) == packed(after)


@given(st.binary(max_size=60), maps(SETS, 2, 2))
def test_malformed_moves_raise_value_error(data, before):
    """Guards against an exception that callers do not expect."""
    for encoded in (data, zlib.compress(data)):
        try:
            packing.apply_moves(packed(before), encoded)
        except ValueError:
            continue


def test_map_of_the_largest_group_fits_in_a_datagram():
    """Guards against a limit at 255 ranks or 255 experts of a rank."""
    rng = random.Random(1)
    experts = [
        [sorted(rng.sample(range(512), 3)) for _ in range(16)]
        for _ in range(256)
    ]
    experts[7][0] = list(range(300))
    data = packing.pack_map(packed(experts))
    assert list(map(packing.unpack_rank, packing.unpack_map(data))) == experts
    assert len(data) < endpoint.MAX_MESSAGE_BYTES
    with pytest.raises(ValueError, match='16 bits'):
        packing.pack_rank([[65_536]])


def test_compressed_data_is_bounded():
    """Guards against a small datagram that takes all memory."""
    with pytest.raises(ValueError, match='too large'):
        packing.unpack_map(zlib.compress(bytes(1 << 24)))


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
