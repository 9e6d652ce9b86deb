"""Finds out whether a target that closed a connection has ended."""

from __future__ import annotations

import asyncio
import time

from ...directory import model
from ...http1 import connection, pool

VERDICT_S = 1.0
"""How long a verdict counts. A target that ended is back after seconds."""


class EndedTargets:
    """Asks each start of a target once when its connections close."""

    def __init__(self) -> None:
        self._verdicts: dict[
            pool.Incarnation, tuple[float, asyncio.Task[bool]]
        ] = {}

    async def has_ended(self, record: model.TargetRecord) -> bool:
        """Return whether no connection can be opened any more."""
        now_s = time.monotonic()
        self._verdicts = {
            incarnation: item
            for incarnation, item in self._verdicts.items()
            if now_s - item[0] < VERDICT_S
        }
        if record.incarnation not in self._verdicts:
            task = asyncio.create_task(_refuses_connections(record.address))
            self._verdicts[record.incarnation] = (now_s, task)
        return await asyncio.shield(self._verdicts[record.incarnation][1])


async def _refuses_connections(address: str) -> bool:
    try:
        conn = await connection.HttpConnection.open(
            address, pool.CONNECT_TIMEOUT_S
        )
    except connection.ConnectFailed:
        return True
    conn.close()
    return False
