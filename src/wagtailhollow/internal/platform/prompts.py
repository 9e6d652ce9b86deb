"""Decodes the header ``X-Prompt-Prefix``, the parts of a call's prompt."""

from __future__ import annotations

import itertools

MAX_PARTS = 64
"""Parts of one prompt that are looked at."""


def shared_parts(value: bytes) -> tuple[str, ...]:
    """Return the ids of the parts that other prompts may share, in order.

    The last part belongs to the call or to its session. A part that repeats
    is named once, one without an id not at all.

    :param value: ``ID:TOKENS``, separated by commas.
    """
    ids = (
        entry.partition(b':')[0].strip().decode('latin-1')
        for entry in value.split(b',')[:-1]
    )
    return tuple(itertools.islice(dict.fromkeys(filter(None, ids)), MAX_PARTS))
