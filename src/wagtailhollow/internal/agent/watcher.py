"""Follows the load and the health of the target."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from absl import logging

from ... import errors
from ..observability import metrics
from . import gate as gate_module
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
        gate: gate_module.Gate,
        ramp: ramp_module.Ramp,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a watcher.

        :param changed: called after each poll.
        """
        self._backend = backend
        self._gate = gate
        self._ramp = ramp
        self._changed = changed
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
        self._gate.check()
        while self._starts_left <= 0:
            seen_s = self._received_at_s
            await self.poll()
            if self._received_at_s == seen_s:
                raise errors.Refusal(
                    errors.ErrorKind.NOT_READY,
                    'the target does not report its load',
                )
            self._gate.check()

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
        except registry.BackendFailed as exc:
            self._miss(exc)
        else:
            self._take(load, started_s)
        metrics.target_cap.set(self._ramp.cap)
        self._changed()

    def _take(self, load: registry.BackendLoad, started_s: float) -> None:
        self._missed = 0
        if self._gate.health is not gate_module.Health.UP:
            logging.info('target answers')
        self._gate.health = gate_module.Health.UP
        # Only calls that the report must contain are subtracted: the rest of
        # its count are streams that an earlier agent started, which load the
        # target as well.
        own = self._gate.started_before(started_s - REPORT_LAG_S)
        self._gate.observe_foreign(load.running - own)
        self.load = load
        self._received_at_s = time.monotonic()
        self._starts_left = self._ramp.starts_per_report
        if self._ramp.observe(load):
            metrics.target_cold_resets.inc()
            logging.warning('target turned cold, cap is %d', self._ramp.cap)

    def _miss(self, exc: registry.BackendFailed) -> None:
        self._missed += 1
        if self._missed == MAX_MISSED_POLLS:
            logging.warning('target does not answer: %s', exc)
            self._gate.health = gate_module.Health.DOWN
            self._ramp.reset()
