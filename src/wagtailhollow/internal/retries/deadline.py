"""Deadlines: given by the caller, carried as remaining time.

Between processes a deadline travels as the milliseconds that are left, since
the clocks of two hosts differ.
"""

from __future__ import annotations

import math

from ... import errors

TIMEOUT_HEADER = 'request-timeout'
"""Header in which a caller says how many seconds it will wait."""


def from_header(value: str, longest_s: float) -> float:
    """Return the time allowed for a call in seconds.

    :param value: the header's value, '' if it was not sent.
    :param longest_s: the entry's own limit, which is also the default.
    :raises Refusal: BAD_REQUEST if the value is not a positive number.
    """
    if not value:
        return longest_s
    try:
        asked_s = float(value)
    except ValueError:
        asked_s = math.nan
    if not (math.isfinite(asked_s) and asked_s > 0):
        raise errors.Refusal(
            errors.ErrorKind.BAD_REQUEST,
            f'{TIMEOUT_HEADER} has to be a positive number of seconds, got '
            f'{value!r}',
        )
    return min(asked_s, longest_s)
