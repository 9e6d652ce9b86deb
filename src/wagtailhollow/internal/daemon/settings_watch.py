"""Reloads a settings file that changes while the process runs."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Protocol

from ..hostcfg import model
from ..observability import decisions
from . import lifecycle

POLL_PERIOD_S = 2.0
"""The file may change without a signal; one check takes a few microseconds."""


class ReconfigurableDaemon(lifecycle.Daemon, Protocol):
    """A daemon that can apply new settings while it runs."""

    def reconfigure(self, cfg: model.HostSettings) -> None:
        """Apply the settings in *cfg* that can change while it runs.

        These are the address of the store and, at the entry, the bounds for
        keys, retries and cold targets (:class:`model.Bounds`).
        """


class SettingsWatch:
    """Reloads the file on a signal and when it has changed."""

    def __init__(
        self,
        file: str,
        load: Callable[[str], model.HostSettings],
        reconfigure: Callable[[model.HostSettings], None],
    ) -> None:
        """Create a watcher.

        :param load: reads the file; raises ValueError if it is invalid.
        :param reconfigure: applies the settings.
        """
        self._file = file
        self._load = load
        self._reconfigure = reconfigure
        self._last_stamp = self._read_stamp()

    async def run(self) -> None:
        """Check for changes periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_PERIOD_S)
            stamp = self._read_stamp()
            if stamp != self._last_stamp:
                self._last_stamp = stamp
                self.reload()

    def reload(self) -> None:
        """Read the file; keep the present settings if it is invalid."""
        try:
            self._reconfigure(self._load(self._file))
        except ValueError as exc:
            decisions.log('settings_unusable', reason=str(exc))
            return
        decisions.log('settings_read', file=self._file)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._file)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size
