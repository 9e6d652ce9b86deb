"""Reads the table and the host list from the platform."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Mapping
from typing import Any

from absl import logging

from ..membership import hosts, relays
from ..observability import metrics
from ..store import api
from ..table import model
from . import document

WATCH_TIMEOUT_S = 2.0
"""How long the platform holds a watch without changes.

A watch that hangs is abandoned WATCH_TIMEOUT_MARGIN_S later. With 24 relays,
watches renewed every 2 s cost the platform 12 calls a second, and as many
reads, as a read follows each watch without changes.
"""

WATCH_TIMEOUT_MARGIN_S = 0.5
HOSTS_POLL_PERIOD_S = 1.0
POLL_PERIOD_S = 1.0
IDLE_PERIOD_S = 0.2
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0


class PlatformSource:
    """Keeps the table and the host list current from the platform.

    There is one task for each. Relays watch the table. Other entries only
    poll, with ``If-None-Match``, once they have received no heartbeat of a
    relay for :data:`relays.SILENCE_LIMIT_S`.
    """

    def __init__(
        self,
        store: api.ObjectStore,
        table: document.VersionedDocument,
        host_list: document.VersionedDocument,
        election: relays.RelayElection,
    ) -> None:
        self._store = store
        self._table = table
        self._hosts = host_list
        self._election = election
        self._answered_at_s: float | None = None
        self._is_available = True

    def is_current(self) -> bool:
        """Return whether the platform answered within ``SILENCE_LIMIT_S``."""
        return (
            self._answered_at_s is not None
            and time.monotonic() - self._answered_at_s < relays.SILENCE_LIMIT_S
        )

    async def follow_table(self) -> None:
        """Watch or poll the table until cancelled."""
        delay_s = RETRY_MIN_S
        while True:
            try:
                await self._watch_or_poll()
                delay_s = RETRY_MIN_S
            except api.PlatformUnavailable as exc:
                self._record_unavailable(exc)
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(delay_s * 2, RETRY_MAX_S)

    async def follow_hosts(self) -> None:
        """Poll the host list until cancelled, if this entry has to read it."""
        while True:
            if self._must_read_platform() or not self._hosts.version:
                try:
                    await self._read_hosts()
                except api.PlatformUnavailable as exc:
                    self._record_unavailable(exc)
            await asyncio.sleep(HOSTS_POLL_PERIOD_S)

    def _must_read_platform(self) -> bool:
        return (
            self._election.is_relay()
            or not self._election.has_recent_relay_heartbeat()
        )

    async def _watch_or_poll(self) -> None:
        if self._table.version and self._election.is_relay():
            await self._watch_once()
        elif (
            self._table.version and self._election.has_recent_relay_heartbeat()
        ):
            await asyncio.sleep(IDLE_PERIOD_S)
        else:
            await self._poll_once()
            # Jitter spreads the reads of entries that lost the same relays.
            await asyncio.sleep(POLL_PERIOD_S * random.uniform(0.5, 1.0))

    async def _watch_once(self) -> None:
        try:
            async with asyncio.timeout(
                WATCH_TIMEOUT_S + WATCH_TIMEOUT_MARGIN_S
            ):
                found = await self._store.watch(
                    model.TABLE_KEY, self._table.version, WATCH_TIMEOUT_S
                )
        except TimeoutError:
            # The watch may have been lost; a read finds any change.
            await self._poll_once()
            return
        self._record_answer()
        if found is None:
            # A watch that always times out may have stopped working; a read
            # finds what it has missed.
            await self._poll_once()
        else:
            apply_table(self._table, found.version, found.value)

    async def _poll_once(self) -> None:
        found = await self._store.get(model.TABLE_KEY, self._table.version)
        self._record_answer()
        if found is not None and found.value is not None:
            apply_table(self._table, found.version, found.value)

    async def _read_hosts(self) -> None:
        found = await self._store.hosts(self._hosts.version)
        self._record_answer()
        if found is not None:
            self._hosts.replace(found.revision, hosts.to_rows(found.hosts))

    def _record_unavailable(self, exc: api.PlatformUnavailable) -> None:
        # Logged once per outage: there are several attempts per second.
        if self._is_available:
            logging.warning('the platform does not answer: %s', exc)
        self._is_available = False

    def _record_answer(self) -> None:
        if not self._is_available:
            logging.info('the platform answers again')
        self._is_available = True
        self._answered_at_s = time.monotonic()
        metrics.document_checked.labels(self._table.name).set(time.time())


def apply_table(
    table: document.VersionedDocument, version: int, value: Any
) -> bool:
    """Apply the platform's table object; return whether it was newer.

    An object that is not a valid table is logged and ignored.
    """
    rows = value.get('rows') if isinstance(value, Mapping) else None
    if not isinstance(rows, Mapping) or not all(
        isinstance(row, Mapping) for row in rows.values()
    ):
        logging.error('table version %d has no valid rows, ignored', version)
        return False
    if not table.replace(version, rows):
        return False
    logging.info('table version %d from the platform', version)
    return True
