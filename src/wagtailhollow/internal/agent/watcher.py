"""Follows the load and the health of the target."""

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
"""A call younger than this may be missing from the target's report."""


class TargetWatcher:
    """Polls the target's load, on a timer and before calls start."""

    def __init__(
        self,
        backend: registry.Backend,
        admission: admission_module.AdmissionController,
        ramp: ramp_module.Ramp,
        on_poll: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a watcher.

        :param on_poll: called after each poll.
        """
        self._backend = backend
        self._admission = admission
        self._ramp = ramp
        self._on_poll = on_poll
        self._missed = 0
        self._received_at_s = 0.0
        self._starts_left = 0
        self._polling: asyncio.Task[None] | None = None
        self.load: registry.BackendLoad | None = None

    def report_age_ms(self) -> int:
        """Return the age of the last report of the target."""
        if self.load is None:
            return 1_000_000
        return int((time.monotonic() - self._received_at_s) * 1000)

    async def run(self) -> None:
        """Poll for ever."""
        while True:
            await self.poll()
            await asyncio.sleep(POLL_PERIOD_S)

    async def wait_for_start(self) -> None:
        """Wait until the last report allows one more call to start.

        Returns without a suspension after the last check, so that the caller
        may admit the call at once and count it by :meth:`count_start`.

        :raises Refusal: the gate is closed, or the target does not answer.
        """
        self._admission.check()
        while self._starts_left <= 0:
            seen_s = self._received_at_s
            await self.poll()
            if self._received_at_s == seen_s:
                raise errors.Refusal(
                    errors.ErrorKind.NOT_READY,
                    'the target does not report its load',
                )
            self._admission.check()

    def count_start(self) -> None:
        """Count a call that starts now."""
        self._starts_left -= 1

    async def poll(self) -> None:
        """Query the target, together with others that ask meanwhile."""
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
        self._missed = 0
        if self._admission.health is not admission_module.Health.UP:
            logging.info('target answers')
        self._admission.health = admission_module.Health.UP
        # Only calls that the report must contain are subtracted: the rest of
        # its count are streams that an earlier agent started, which load the
        # target as well.
        own = self._admission.started_before(started_s - REPORT_LAG_S)
        self._admission.limit_untracked(load.running - own)
        self.load = load
        self._received_at_s = time.monotonic()
        self._starts_left = self._ramp.starts_per_report
        if self._ramp.observe(load):
            metrics.target_cold_resets.inc()
            logging.warning('target turned cold, cap is %d', self._ramp.cap)

    def _record_missed_poll(self, exc: registry.BackendError) -> None:
        self._missed += 1
        if self._missed == MAX_MISSED_POLLS:
            logging.warning('target does not answer: %s', exc)
            self._admission.health = admission_module.Health.DOWN
            self._ramp.reset()
