"""Connections of one agent to the other agents of its group.

They are opened for planning, switching or recovery and closed afterwards: in a
group of 256 ranks, keeping all of them open would cost each agent about 500
heartbeats per second.
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

LocalHandler = Callable[[codec.Message], Awaitable[codec.Message]]


class GroupPeers:
    """Sends requests to all ranks; see :class:`switch.GroupTransport`."""

    def __init__(
        self,
        group: str,
        rank: int,
        host_list: document.VersionedDocument,
        peer_pool: pool.PeerPool,
        handle_local: LocalHandler,
    ) -> None:
        """Initialise without connections.

        :param handle_local: handles a message to the local rank without a
            connection.
        """
        self._group = group
        self._rank = rank
        self._hosts = host_list
        self._peer_pool = peer_pool
        self._handle_local = handle_local
        self._users = 0
        host_list.on_change(self._on_hosts_changed)

    @property
    def ranks(self) -> list[int]:
        """Return the ranks in the host list, sorted."""
        return sorted(self._addresses())

    @contextlib.asynccontextmanager
    async def connected(self) -> AsyncIterator[None]:
        """Keep connections to all peers open within the context."""
        self._users += 1
        self._update_wanted()
        try:
            yield
        finally:
            self._users -= 1
            self._update_wanted()

    async def request(
        self, rank: int, message: codec.Message, timeout_s: float
    ) -> Any:
        """Send a request to a rank; None if it did not answer in time."""
        try:
            async with asyncio.timeout(timeout_s):
                if rank == self._rank:
                    return await self._handle_local(message)
                conn = await self._connection(rank)
                return await conn.request(message, timeout_s)
        except (TimeoutError, connection.ConnectionLost) as exc:
            logging.info(
                'no answer from rank %d of %s: %r', rank, self._group, exc
            )
        except errors.Refusal as exc:
            logging.warning(
                'request refused by rank %d of %s: %s', rank, self._group, exc
            )
        return None

    async def fetch_hosts(self, store: api.ObjectStore) -> None:
        """Poll the platform for the host list until there is one.

        A peer may send it first.
        """
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
            conn = self._peer_pool.get(address) if address else None
            if conn is not None:
                return conn
            await asyncio.sleep(CONNECTION_POLL_S)

    def _addresses(self) -> Mapping[int, str]:
        return {
            row['rank']: row['address']
            for row in self._hosts.rows.values()
            if row.get('group') == self._group
        }

    def _update_wanted(self) -> None:
        addresses = self._addresses()
        self._peer_pool.set_addresses(
            address
            for rank, address in addresses.items()
            if self._users and rank != self._rank
        )

    def _on_hosts_changed(self, _: document.Change) -> None:
        if self._users:
            self._update_wanted()


class LoadCollector:
    """Computes the load of a period from the ranks' cumulative counters."""

    def __init__(self, peers: GroupPeers, group: str) -> None:
        self._peers = peers
        self._group = group
        self._before: dict[int, ttypes.ExpertLoad] = {}

    async def collect(
        self, timeout_s: float
    ) -> tuple[list[list[float]] | None, list[float | None]]:
        """Return the tokens by layer and expert, and the busy time by rank.

        The tokens are None if a rank is missing or has restarted, since its
        experts would appear to have no load.
        """
        ranks = self._peers.ranks
        started_s = time.monotonic()
        replies = await asyncio.gather(
            *(
                self._peers.request(
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
        logging.debug(
            'load counters of all ranks read in %.3f s',
            time.monotonic() - started_s,
        )
        increments = {
            rank: _increments(before[rank], reply)
            for rank, reply in now.items()
            if rank in before
            and reply.busy_seconds >= before[rank].busy_seconds
        }
        seconds = [
            now[rank].busy_seconds - before[rank].busy_seconds
            if rank in increments
            else None
            for rank in ranks
        ]
        if len(increments) < len(ranks):
            return None, seconds
        layers = [
            [float(sum(column)) for column in zip(*layer, strict=True)]
            for layer in zip(*increments.values(), strict=True)
        ]
        return layers, seconds


def _increments(
    before: ttypes.ExpertLoad, now: ttypes.ExpertLoad
) -> list[list[int]]:
    return [
        [new - old for old, new in zip(*pair, strict=True)]
        for pair in zip(before.layers, now.layers, strict=True)
    ]
