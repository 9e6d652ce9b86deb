"""Follows the platform's table and host list and feeds the documents."""

from __future__ import annotations

import asyncio
import random
import time

from absl import logging

from ..membership import hosts
from ..observability import metrics
from ..platform import api
from ..table import model
from . import document

WATCH_TIMEOUT_S = 20.0
HOSTS_POLL_PERIOD_S = 1.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 3.0


class PlatformSource:
    """Two tasks: a watch on the table and a poll of the host list."""

    def __init__(
        self,
        store: api.ObjectStore,
        table: document.VersionedDocument,
        host_list: document.VersionedDocument,
    ) -> None:
        self._store = store
        self._table = table
        self._hosts = host_list

    async def follow_table(self) -> None:
        """Watch the table for ever."""
        delay_s = RETRY_MIN_S
        while True:
            try:
                await self._watch_once()
                delay_s = RETRY_MIN_S
            except api.PlatformUnavailable as exc:
                logging.warning('table watch failed: %s', exc)
                await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
                delay_s = min(delay_s * 2, RETRY_MAX_S)

    async def follow_hosts(self) -> None:
        """Poll the host list for ever."""
        while True:
            try:
                found = await self._store.hosts(self._hosts.version)
                if found is not None:
                    self._hosts.replace(
                        found.revision, hosts.to_rows(found.hosts)
                    )
            except api.PlatformUnavailable as exc:
                logging.warning('host list unavailable: %s', exc)
            await asyncio.sleep(HOSTS_POLL_PERIOD_S)

    async def _watch_once(self) -> None:
        found = await self._store.watch(
            model.TABLE_KEY, self._table.version, WATCH_TIMEOUT_S
        )
        self._checked()
        if found is not None and self._table.replace(
            found.version, found.value['rows']
        ):
            metrics.document_version.labels(self._table.name).set(
                found.version
            )
            logging.info('table version %d in force', found.version)

    def _checked(self) -> None:
        metrics.document_checked.labels(self._table.name).set(time.time())
