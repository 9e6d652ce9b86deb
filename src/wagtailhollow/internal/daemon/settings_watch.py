"""Takes over a settings file that changes while the process runs."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Protocol

from ..hostcfg import model
from ..observability import decisions
from . import lifecycle

PERIOD_S = 2.0
"""The file may change without a signal; a look costs a few microseconds."""


class ReconfigurableDaemon(lifecycle.Daemon, Protocol):
    """A daemon that takes over new settings."""

    def reconfigure(self, cfg: model.HostSettings) -> None:
        """Use new bounds and a new address of the store."""


class SettingsWatch:
    """Reads the file again on a signal and when it has changed."""

    def __init__(
        self,
        file: str,
        load: Callable[[str], model.HostSettings],
        reconfigure: Callable[[model.HostSettings], None],
    ) -> None:
        """Create a watch.

        :param load: reads the file; raises ValueError if it is not usable.
        """
        self._file = file
        self._load = load
        self._reconfigure = reconfigure
        self._seen = self._stamp()

    async def run(self) -> None:
        """Look for changes for ever."""
        while True:
            await asyncio.sleep(PERIOD_S)
            stamp = self._stamp()
            if stamp != self._seen:
                self._seen = stamp
                self.reload()

    def reload(self) -> None:
        """Read the file; unusable contents leave the settings as they are."""
        try:
            self._reconfigure(self._load(self._file))
        except ValueError as exc:
            decisions.log('settings_unusable', reason=str(exc))
            return
        decisions.log('settings_read', file=self._file)

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self._file)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size
