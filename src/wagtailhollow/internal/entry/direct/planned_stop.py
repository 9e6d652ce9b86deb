"""The planned stop of an entry that calls targets directly."""

from __future__ import annotations

import time
from collections.abc import Callable


class PlannedStop:
    """Whether and since when the entry is stopping."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._begun_s: float | None = None

    @property
    def is_begun(self) -> bool:
        """Return whether the stop has begun."""
        return self._begun_s is not None

    def begin(self) -> None:
        """Begin the stop."""
        self._begun_s = self._clock()

    def elapsed_s(self) -> float | None:
        """Return the time since the stop began, None before it."""
        if self._begun_s is None:
            return None
        return self._clock() - self._begun_s
