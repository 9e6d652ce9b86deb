"""Connections of one agent to the other agents of its group.

They are opened for planning, switching or resolving and dropped afterwards:
a group of 256 with all of them open would cost each agent some 500 heartbeats
a second.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from typing import Any

from absl import logging

from ... import errors
from ..distribution import document
from ..membership import hosts
from ..store import api
from ..wire import codec, connection, pool
from ..wire.gen import ttypes

CONNECTION_POLL_S = 0.02
HOSTS_FALLBACK_PERIOD_S = 5.0

OwnRank = Callable[[codec.Message], Awaitable[codec.Message]]


class GroupPeers:
    """Requests to all ranks of the group; see :class:`switch.GroupLink`."""

    def __init__(
        self,
        group: str,
        rank: int,
        host_list: document.VersionedDocument,
        peers: pool.PeerPool,
        own: OwnRank,
    ) -> None:
        """Create the view.

        :param own: handles a message to the own rank without a connection.
        """
        self._group = group
        self._rank = rank
        self._hosts = host_list
        self._peers = peers
        self._own = own
        self._users = 0
        host_list.on_change(self._hosts_changed)

    @property
    def ranks(self) -> list[int]:
        """Return the ranks in the host list, sorted."""
        return sorted(self._addresses())

    @contextlib.asynccontextmanager
    async def connected(self) -> AsyncIterator[None]:
        """Keep connections to all peers meanwhile."""
        self._users += 1
        self._want()
        try:
            yield
        finally:
            self._users -= 1
            self._want()

    async def ask(
        self, rank: int, message: codec.Message, timeout_s: float
    ) -> Any:
        """Send a request to a rank; None if it did not answer in time."""
        try:
            async with asyncio.timeout(timeout_s):
                if rank == self._rank:
                    return await self._own(message)
                conn = await self._connection(rank)
                return await conn.request(message, timeout_s)
        except (TimeoutError, connection.ConnectionLost) as exc:
            logging.info('rank %d of %s: %r', rank, self._group, exc)
        except errors.Refusal as exc:
            logging.warning('rank %d of %s: %s', rank, self._group, exc)
        return None

    async def fetch_hosts(self, store: api.ObjectStore) -> None:
        """Read the host list from the platform until a peer has sent one."""
        while not self._hosts.version:
            await asyncio.sleep(HOSTS_FALLBACK_PERIOD_S)
            if self._hosts.version:
                return
            try:
                found = await store.hosts(0)
            except api.PlatformUnavailable as exc:
                logging.warning('host list unavailable: %s', exc)
                continue
            if found is not None:
                self._hosts.replace(found.revision, hosts.to_rows(found.hosts))

    async def _connection(self, rank: int) -> connection.PeerConnection:
        while True:
            address = self._addresses().get(rank)
            conn = self._peers.get(address) if address else None
            if conn is not None:
                return conn
            await asyncio.sleep(CONNECTION_POLL_S)

    def _addresses(self) -> Mapping[int, str]:
        return {
            row['rank']: row['address']
            for row in self._hosts.rows.values()
            if row.get('group') == self._group
        }

    def _want(self) -> None:
        addresses = self._addresses()
        self._peers.want(
            address
            for rank, address in addresses.items()
            if self._users and rank != self._rank
        )

    def _hosts_changed(self, _: document.Change) -> None:
        if self._users:
            self._want()


class LoadCollector:
    """Differences of the ranks' cumulative load counters."""

    def __init__(self, peers: GroupPeers, group: str) -> None:
        self._peers = peers
        self._group = group
        self._before: dict[int, ttypes.ExpertLoad] = {}

    async def collect(
        self, timeout_s: float
    ) -> tuple[list[list[float]] | None, list[float | None]]:
        """Return the tokens by layer and expert, and the seconds by rank.

        The tokens are None if a rank is missing or has started again, since
        its experts would appear to have no load.
        """
        ranks = self._peers.ranks
        started_s = time.monotonic()
        replies = await asyncio.gather(
            *(
                self._peers.ask(
                    rank, ttypes.ExpertLoadRequest(self._group), timeout_s
                )
                for rank in ranks
            )
        )
        now = {
            rank: reply
            for rank, reply in zip(ranks, replies, strict=True)
            if reply is not None
        }
        before, self._before = self._before, now
        logging.debug('loads read in %.3f s', time.monotonic() - started_s)
        growth = {
            rank: _growth(before[rank], reply)
            for rank, reply in now.items()
            if rank in before
            and reply.busy_seconds >= before[rank].busy_seconds
        }
        seconds = [
            now[rank].busy_seconds - before[rank].busy_seconds
            if rank in growth
            else None
            for rank in ranks
        ]
        if len(growth) < len(ranks):
            return None, seconds
        layers = [
            [float(sum(column)) for column in zip(*layer, strict=True)]
            for layer in zip(*growth.values(), strict=True)
        ]
        return layers, seconds


def _growth(
    before: ttypes.ExpertLoad, now: ttypes.ExpertLoad
) -> list[list[int]]:
    return [
        [new - old for old, new in zip(*pair, strict=True)]
        for pair in zip(before.layers, now.layers, strict=True)
    ]
