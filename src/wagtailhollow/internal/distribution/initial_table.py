"""The first table of a starting process.

A process that has just started has to be sure that the first table it meets
is not an old one: a peer that missed a withdrawal would make it take work for
a withdrawn data centre. It takes the platform's table or, while the platform
does not answer, the newest that several peers have.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable

from absl import logging

from ..store import api
from ..table import model
from ..wire.gen import ttypes
from . import document, source

PEERS_ASKED = 3
PEERS_WAIT_S = 2.0
"""After this the peers heard so far are enough: there may be no third one.

Two heartbeat periods, so that every connected peer has named its version.
"""

RETRY_S = 0.25
LOG_PERIOD_S = 5


class InitialTable:
    """Decides when the table of a starting process may be used."""

    def __init__(
        self,
        store: api.ObjectStore,
        table: document.VersionedDocument,
        on_confirmed: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._table = table
        self._on_confirmed = on_confirmed
        self._clock = clock
        self._heard: dict[str, int] = {}
        self._first_heard_s: float | None = None
        self.is_confirmed = False

    def heard(
        self, node: str, versions: Iterable[ttypes.DocumentVersion]
    ) -> None:
        """Take the versions of a peer's heartbeat."""
        if self.is_confirmed:
            return
        for item in versions:
            if item.name == self._table.name and item.version:
                self._heard[node] = item.version
                self._first_heard_s = self._first_heard_s or self._clock()
        self.check_peers()

    def check_peers(self) -> None:
        """Confirm the table if enough peers have been heard."""
        if self.is_confirmed or self._first_heard_s is None:
            return
        waited_s = self._clock() - self._first_heard_s
        is_enough = len(self._heard) >= PEERS_ASKED or waited_s > PEERS_WAIT_S
        if is_enough and self._table.version >= max(self._heard.values()):
            self._confirm(f'{len(self._heard)} peers')

    async def run(self) -> None:
        """Ask the platform until the table is confirmed by it or by peers."""
        while not self.is_confirmed:
            try:
                found = await self._store.get(model.TABLE_KEY)
                if found is not None:
                    source.apply_table(self._table, found.version, found.value)
                    if self._table.version >= found.version:
                        self._confirm('the platform')
            except api.PlatformUnavailable as exc:
                logging.log_every_n_seconds(
                    logging.WARNING,
                    'no table from the platform: %s',
                    LOG_PERIOD_S,
                    exc,
                )
                self.check_peers()
            await asyncio.sleep(RETRY_S)

    def _confirm(self, by_whom: str) -> None:
        if self.is_confirmed:
            return
        self.is_confirmed = True
        logging.info(
            'first table is version %d, by %s', self._table.version, by_whom
        )
        self._on_confirmed()
