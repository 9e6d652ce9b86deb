"""Round trips of frames, and rejection of malformed frames."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailhollow import errors
from wagtailhollow.internal.wire import codec
from wagtailhollow.internal.wire.gen import ttypes


@settings(derandomize=True, deadline=None)
@given(
    st.text(max_size=40),
    st.integers(0, 2**31 - 1),
    st.integers(0, 2**62),
    st.binary(max_size=2000),
    st.integers(0, 2**62),
    st.booleans(),
)
def test_chunk_round_trip(
    call_id, attempt, offset, data, request_id, is_reply
):
    """Guards against fields that are lost or swapped by the codec."""
    message = ttypes.Chunk(call_id, attempt, offset, data)
    frame = codec.encode(message, request_id, is_reply)
    received = codec.decode(frame[4:])
    assert received == codec.Received(request_id, is_reply, message)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(st.binary(max_size=300))
def test_arbitrary_bytes_are_refused_as_bad_frame(payload):
    """Guards against a malformed frame that crashes the reader task."""
    try:
        codec.decode(payload)
    except errors.Refusal as exc:
        assert exc.kind is errors.ErrorKind.BAD_FRAME


def test_missing_required_field_is_refused():
    """Guards against handlers that get None for a required field."""
    frame = codec.encode(ttypes.Chunk('call', 1, None, b'data'))
    with pytest.raises(errors.Refusal, match='lacks the field offset'):
        codec.decode(frame[4:])


def test_encoder_refuses_frame_over_the_limit():
    """Guards against sending a frame that every receiver rejects."""
    message = ttypes.Chunk('call', 1, 0, bytes(codec.MAX_FRAME_BYTES))
    with pytest.raises(errors.Refusal, match='exceeds the limit'):
        codec.encode(message)
