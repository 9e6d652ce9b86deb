"""Concurrency cap of a target that may be cold.

A target that has just started carries little and falls over under full load,
so the cap starts low and is raised by a factor for each round of completed
calls. Signs that a warm target turned cold again set it back to the start.
"""

from __future__ import annotations

from ..settings import schema
from .backends import registry

FIRST_TOKEN_JUMP_FACTOR = 4.0
FIRST_TOKEN_JUMP_MIN_MS = 200.0

CACHE_DROP_SHARE = 0.5
"""A cache that keeps less than this share since the last report was lost."""

WARM_UPTIME_S = 10.0
"""A target younger than this is cold, whatever it has completed."""

WARM_COMPLETED_PER_CALL = 4
"""Completed calls for each running one that show a warm target."""


class Ramp:
    """Cap for the calls that run at the target at the same time.

    :ivar epoch: number of resets. A call that completes counts only in the
        epoch in which it started: what a target finished before it turned
        cold says nothing about what it bears now.
    """

    def __init__(self, cfg: schema.RampSettings) -> None:
        self._cfg = cfg
        self._limit = cfg.max_cap
        self._cap = float(cfg.initial_cap)
        self._completed_in_round = 0
        self._last: registry.BackendLoad | None = None
        self.epoch = 0

    @property
    def cap(self) -> int:
        """Return the number of calls that may run now."""
        return max(1, min(int(self._cap), self._limit))

    @property
    def limit(self) -> int:
        """Return the upper bound of the cap."""
        return self._limit

    @property
    def starts_per_report(self) -> int:
        """Return how many calls may start between two load reports.

        A target may turn cold right after a report, so no more may start
        unseen than a cold target bears.
        """
        return self._cfg.initial_cap

    def set_limit(self, max_concurrent: int) -> None:
        """Bound the cap by the table's ``max_concurrent``."""
        self._limit = max(1, min(max_concurrent, self._cfg.max_cap))

    def completed(self, running: int, epoch: int) -> None:
        """Count a completed call; *running* calls were in progress.

        Only calls completed while at least half of the cap was in use show
        that the target bears it.
        """
        if epoch != self.epoch or running * 2 < self.cap:
            return
        self._completed_in_round += 1
        needed = max(self._cfg.completions_per_step, self.cap)
        if self._completed_in_round >= needed:
            self._completed_in_round = 0
            raised = max(self._cap * self._cfg.step_factor, self._cap + 1)
            self._cap = min(raised, float(self._limit))

    def failed(self) -> None:
        """Halve the cap after a failure of the target."""
        self._completed_in_round = 0
        self._cap = max(float(self._cfg.initial_cap), self._cap / 2)

    def observe(self, load: registry.BackendLoad) -> bool:
        """Take a load report; return whether the cap was reset."""
        last, self._last = self._last, load
        if last is None:
            self._take_over(load)
            return False
        if not _turned_cold(last, load):
            return False
        self.reset()
        return True

    def reset(self) -> None:
        """Assume that the target is cold."""
        self._cap = float(self._cfg.initial_cap)
        self._completed_in_round = 0
        self.epoch += 1

    def _take_over(self, load: registry.BackendLoad) -> None:
        """Start from what an earlier agent left running at a warm target.

        The calls that run were admitted under its cap, and enough of them
        were completed since the target started.
        """
        is_warm = (
            load.uptime_s >= WARM_UPTIME_S
            and load.completed >= WARM_COMPLETED_PER_CALL * load.running
        )
        if is_warm:
            self._cap = max(self._cap, float(load.running))


def _turned_cold(
    last: registry.BackendLoad, load: registry.BackendLoad
) -> bool:
    restarted = (
        load.generation != last.generation
        or load.uptime_s < last.uptime_s
        or load.completed < last.completed
    )
    # Calls that started since may have put something into an emptied cache.
    emptied = load.cached_prefixes < last.cached_prefixes * CACHE_DROP_SHARE
    jumped = (
        last.first_token_ms > 0
        and load.first_token_ms > FIRST_TOKEN_JUMP_MIN_MS
        and load.first_token_ms > FIRST_TOKEN_JUMP_FACTOR * last.first_token_ms
    )
    return restarted or emptied or jumped
