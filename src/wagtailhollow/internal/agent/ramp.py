"""Concurrency cap with a slow start for cold targets.

A target that has just started can serve few calls at a time and fails under
full load, so the cap starts low and is multiplied by a factor after each round
of completed calls. It is reset when a load report shows that the target became
cold again.
"""

from __future__ import annotations

from ..settings import schema
from .backends import registry

FIRST_TOKEN_JUMP_FACTOR = 4.0
FIRST_TOKEN_JUMP_MIN_MS = 200.0

CACHE_DROP_SHARE = 0.5
"""A cache that shrinks below this share of its size in the last report was
lost."""

WARM_UPTIME_S = 10.0
"""A target that started more recently counts as cold, however many calls it
has completed."""

WARM_COMPLETED_PER_CALL = 4
"""Completed calls per running call from which a target counts as warm."""


class Ramp:
    """Cap on the number of calls that the target runs concurrently.

    :ivar epoch: number of resets. A completed call counts only if no reset
        occurred while it ran: calls that started before the target became
        cold say nothing about its present capacity.
    """

    def __init__(self, cfg: schema.RampSettings) -> None:
        self._cfg = cfg
        self._max_cap = cfg.max_cap
        self._cap = float(cfg.initial_cap)
        self._completed_in_round = 0
        self._last: registry.BackendLoad | None = None
        self.epoch = 0

    @property
    def cap(self) -> int:
        """Return the number of calls that may run concurrently."""
        return max(1, min(int(self._cap), self._max_cap))

    @property
    def max_cap(self) -> int:
        """Return the value that the cap may not exceed."""
        return self._max_cap

    @property
    def starts_per_report(self) -> int:
        """Return how many calls may start between two load reports.

        A target may become cold right after a report, so until the next one
        no more calls may start than a cold target can serve.
        """
        return self._cfg.initial_cap

    def set_max_cap(self, max_concurrent: int) -> None:
        """Limit the cap to ``max_concurrent`` from the table."""
        self._max_cap = max(1, min(max_concurrent, self._cfg.max_cap))

    def completed(self, running: int, epoch: int) -> None:
        """Count a completed call and raise the cap after a full round.

        A call counts only if at least half of the cap was in use: at a lower
        load it does not show that the target can serve as many calls.

        :param running: number of calls in progress at the completion.
        :param epoch: the epoch in which the call started.
        """
        if epoch != self.epoch or running * 2 < self.cap:
            return
        self._completed_in_round += 1
        needed = max(self._cfg.completions_per_step, self.cap)
        if self._completed_in_round >= needed:
            self._completed_in_round = 0
            raised = max(self._cap * self._cfg.step_factor, self._cap + 1)
            self._cap = min(raised, float(self._max_cap))

    def failed(self) -> None:
        """Halve the cap after the target failed a call."""
        self._completed_in_round = 0
        self._cap = max(float(self._cfg.initial_cap), self._cap / 2)

    def observe(self, load: registry.BackendLoad) -> bool:
        """Evaluate a load report; return whether the cap was reset."""
        last, self._last = self._last, load
        if last is None:
            self._adopt_running_load(load)
            return False
        if not _became_cold(last, load):
            return False
        self.reset()
        return True

    def reset(self) -> None:
        """Set the cap to its initial value, as for a cold target."""
        self._cap = float(self._cfg.initial_cap)
        self._completed_in_round = 0
        self.epoch += 1

    def _adopt_running_load(self, load: registry.BackendLoad) -> None:
        """Raise the cap to the load that a warm target already runs.

        Those calls were admitted under the cap of an earlier agent, and the
        target has completed enough calls since its start to count as warm.
        """
        is_warm = (
            load.uptime_s >= WARM_UPTIME_S
            and load.completed >= WARM_COMPLETED_PER_CALL * load.running
        )
        if is_warm:
            self._cap = max(self._cap, float(load.running))


def _became_cold(
    last: registry.BackendLoad, load: registry.BackendLoad
) -> bool:
    restarted = (
        load.generation != last.generation
        or load.uptime_s < last.uptime_s
        or load.completed < last.completed
    )
    # Not compared with zero: calls that started since the cache was emptied
    # may have added prefixes to it. If both reports have -1, that is, no size,
    # this is true as well, since -1 is less than half of -1.
    cache_shrank = (
        load.cached_prefixes < last.cached_prefixes * CACHE_DROP_SHARE
    )
    jumped = (
        last.first_token_ms > 0
        and load.first_token_ms > FIRST_TOKEN_JUMP_MIN_MS
        and load.first_token_ms > FIRST_TOKEN_JUMP_FACTOR * last.first_token_ms
    )
    return restarted or cache_shrank or jumped
