"""Follows the load and the health of the target."""

from __future__ import annotations

import asyncio
import time

from absl import logging

from ..observability import metrics
from . import gate as gate_module
from . import ramp as ramp_module
from .backends import registry

POLL_PERIOD_S = 0.5
MAX_MISSED_POLLS = 3


class TargetWatcher:
    """Polls the target's load; one task."""

    def __init__(
        self,
        backend: registry.Backend,
        gate: gate_module.Gate,
        ramp: ramp_module.Ramp,
    ) -> None:
        self._backend = backend
        self._gate = gate
        self._ramp = ramp
        self._missed = 0
        self._received_at_s = 0.0
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

    async def poll(self) -> None:
        """Query the target once and update gate and ramp."""
        own_running = self._gate.running
        try:
            load = await self._backend.load()
        except registry.BackendFailed as exc:
            self._miss(exc)
            return
        self._missed = 0
        if self._gate.health is not gate_module.Health.UP:
            logging.info('target answers')
        self._gate.health = gate_module.Health.UP
        # Streams that an earlier agent started still load the target.
        own = max(own_running, self._gate.running)
        self._gate.foreign_running = max(0, load.running - own)
        self.load = load
        self._received_at_s = time.monotonic()
        if self._ramp.observe(load):
            metrics.target_cold_resets.inc()
            logging.warning('target turned cold, cap is %d', self._ramp.cap)
        metrics.target_cap.set(self._ramp.cap)

    def _miss(self, exc: registry.BackendFailed) -> None:
        self._missed += 1
        if self._missed == MAX_MISSED_POLLS:
            logging.warning('target does not answer: %s', exc)
            self._gate.health = gate_module.Health.DOWN
            self._ramp.reset()
