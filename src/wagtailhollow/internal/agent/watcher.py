"""Monitors the load and the health of the target."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from absl import logging

from ... import errors
from ..observability import metrics
from . import admission as admission_module
from . import ramp as ramp_module
from .backends import registry

POLL_PERIOD_S = 0.5
MAX_MISSED_POLLS = 3

REPORT_LAG_S = 0.5
"""A call that started more recently may be missing from a load report."""


class TargetWatcher:
    """Polls the target's load periodically and before calls start.

    :ivar load: the last load report; None before the first.
    """

    def __init__(
        self,
        backend: registry.Backend,
        admission: admission_module.AdmissionController,
        ramp: ramp_module.Ramp,
        on_poll: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a watcher.

        :param on_poll: called after each poll, successful or not.
        """
        self._backend = backend
        self._admission = admission
        self._ramp = ramp
        self._on_poll = on_poll
        self._missed_polls = 0
        self._received_at_s = 0.0
        self._starts_allowed = 0
        self._polling: asyncio.Task[None] | None = None
        self.load: registry.BackendLoad | None = None

    def report_age_ms(self) -> int:
        """Return the age of the last load report of the target."""
        if self.load is None:
            return 1_000_000
        return int((time.monotonic() - self._received_at_s) * 1000)

    async def run(self) -> None:
        """Poll periodically until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_PERIOD_S)

    async def wait_for_start(self) -> None:
        """Poll until the last report allows one more call to start.

        There is no await after the last check, so the caller can admit the
        call right away and count it by :meth:`count_start`.

        :raises Refusal: the call may not start, or the target does not answer.
        """
        self._admission.check()
        while self._starts_allowed <= 0:
            seen_s = self._received_at_s
            await self.poll()
            if self._received_at_s == seen_s:
                raise errors.Refusal(
                    errors.ErrorKind.NOT_READY,
                    'the target did not answer a load query',
                )
            self._admission.check()

    def count_start(self) -> None:
        """Count a call that is started after the last report."""
        self._starts_allowed -= 1

    async def poll(self) -> None:
        """Query the target's load; concurrent callers share one query."""
        if self._polling is None or self._polling.done():
            self._polling = asyncio.create_task(self._poll())
        await asyncio.shield(self._polling)

    async def _poll(self) -> None:
        started_s = time.monotonic()
        try:
            load = await self._backend.load()
        except registry.BackendError as exc:
            self._record_missed_poll(exc)
        else:
            self._apply_load(load, started_s)
        metrics.target_cap.set(self._ramp.cap)
        self._on_poll()

    def _apply_load(
        self, load: registry.BackendLoad, started_s: float
    ) -> None:
        self._missed_polls = 0
        if self._admission.health is not admission_module.Health.UP:
            logging.info('target answers load queries')
        self._admission.health = admission_module.Health.UP
        # Only calls that the report must include are subtracted. The rest are
        # calls that an earlier agent started or that could not be cancelled;
        # they load the target as well.
        own = self._admission.started_before(started_s - REPORT_LAG_S)
        self._admission.limit_untracked(load.running - own)
        self.load = load
        self._received_at_s = time.monotonic()
        self._starts_allowed = self._ramp.starts_per_report
        if self._ramp.observe(load):
            metrics.target_cold_resets.inc()
            logging.warning(
                'target became cold, cap was reset to %d', self._ramp.cap
            )

    def _record_missed_poll(self, exc: registry.BackendError) -> None:
        self._missed_polls += 1
        if self._missed_polls == MAX_MISSED_POLLS:
            logging.warning(
                'target is down, it does not answer load queries: %s', exc
            )
            self._admission.health = admission_module.Health.DOWN
            self._ramp.reset()
