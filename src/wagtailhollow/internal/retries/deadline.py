"""Call deadlines that callers set by a header.

Processes send a deadline to each other as the remaining time in milliseconds,
since the clocks of two hosts differ.
"""

from __future__ import annotations

import math

from ... import errors

TIMEOUT_HEADER = 'request-timeout'
"""Request header with the number of seconds that the caller waits."""


def from_header(value: str, limit_s: float) -> float:
    """Return the time allowed for a call in seconds.

    :param value: value of the header, '' if it was not sent.
    :param limit_s: limit set by the entry, which is also the default.
    :raises Refusal: BAD_REQUEST if the value is not a positive number.
    """
    if not value:
        return limit_s
    try:
        requested_s = float(value)
    except ValueError:
        requested_s = math.nan
    if not (math.isfinite(requested_s) and requested_s > 0):
        raise errors.Refusal(
            errors.ErrorKind.BAD_REQUEST,
            f'{TIMEOUT_HEADER} has to be a positive number of seconds, got '
            f'{value!r}',
        )
    return min(requested_s, limit_s)
