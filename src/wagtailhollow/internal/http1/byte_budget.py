"""Bounds the bytes of answers that a process holds, over all connections."""

from __future__ import annotations

import math

READ_BYTES = 64 * 1024
"""Bytes that are read at once from a connection that sends bytes to drop."""

BODY_READ_BYTES = 16 * 1024
"""Bytes that are read at once of an answer, which may be held."""

SCARCE_READ_BYTES = 2 * 1024
"""The same while the budget is exceeded; more than an event of a stream."""


class ByteBudget:
    """Counts bytes that were received and not passed on yet.

    While the limit is exceeded, connections that hold any bytes read no more,
    and the others read little at a time.

    :ivar held: number of bytes held.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        self._limit_bytes = limit_bytes
        self.held = 0

    @property
    def is_exceeded(self) -> bool:
        """Return whether more bytes are held than the limit."""
        return self.held > self._limit_bytes

    def read_bytes(self) -> int:
        """Return how many bytes of an answer a connection may read at once."""
        return SCARCE_READ_BYTES if self.is_exceeded else BODY_READ_BYTES


class Holder:
    """The bytes of one answer in a budget."""

    def __init__(self, budget: ByteBudget) -> None:
        self._budget = budget
        self._held = 0

    def hold(self, size: int) -> None:
        """Set the number of bytes that the answer holds."""
        self._budget.held += size - self._held
        self._held = size
