"""Confirms the first table of a starting process.

The first table that a starting process receives may be outdated: with the
table of a peer that missed a withdrawal, it would accept work for a withdrawn
data centre. Its table is therefore confirmed by whichever comes first: a read
from the platform that finds no newer version, or the heartbeats of several
peers, none of which has reported a newer version.
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

MIN_PEERS = 3
PEERS_WAIT_S = 2.0
"""After this, fewer peers are sufficient, as there may be no third one.

Two heartbeat periods, so that every connected peer has sent its version.
"""

RETRY_S = 0.25
LOG_PERIOD_S = 5


class InitialTable:
    """Decides when a starting process may use its table."""

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
        self._version_by_node: dict[str, int] = {}
        self._first_heard_s: float | None = None
        self.is_confirmed = False

    def heard(
        self, node: str, versions: Iterable[ttypes.DocumentVersion]
    ) -> None:
        """Record the versions in a heartbeat of a peer."""
        if self.is_confirmed:
            return
        for item in versions:
            if item.name == self._table.name and item.version:
                self._version_by_node[node] = item.version
                self._first_heard_s = self._first_heard_s or self._clock()
        self.check_peers()

    def check_peers(self) -> None:
        """Confirm the table if enough peers reported, none a newer version."""
        if self.is_confirmed or self._first_heard_s is None:
            return
        waited_s = self._clock() - self._first_heard_s
        has_enough_peers = (
            len(self._version_by_node) >= MIN_PEERS or waited_s > PEERS_WAIT_S
        )
        if has_enough_peers and self._table.version >= max(
            self._version_by_node.values()
        ):
            self._confirm(f'{len(self._version_by_node)} peers')

    async def run(self) -> None:
        """Read from the platform until the table is confirmed."""
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

    def _confirm(self, confirmed_by: str) -> None:
        if self.is_confirmed:
            return
        self.is_confirmed = True
        logging.info(
            'first table is version %d, confirmed by %s',
            self._table.version,
            confirmed_by,
        )
        self._on_confirmed()
