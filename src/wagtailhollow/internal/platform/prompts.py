"""Decodes the headers that tell the prompt of a call and its size."""

from __future__ import annotations

import itertools

MAX_DIGITS = 9
"""Digits of a number of tokens that is read."""

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


def answer_tokens(value: bytes) -> int:
    """Return the most tokens of an answer, 0 if the value does not tell.

    :param value: tokens of the prompt and of the answer, separated by a comma.
    """
    count = value.partition(b',')[2].strip()
    return int(count) if count.isdigit() and len(count) <= MAX_DIGITS else 0
