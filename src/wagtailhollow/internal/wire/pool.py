"""Maintains one connection to each configured peer address."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import random
import ssl
from collections.abc import Iterable, Iterator

from absl import logging

from ... import errors
from . import auth, connection

RECONNECT_MIN_S = 0.1
RECONNECT_MAX_S = 2.0
RELEASE_POLL_S = 0.1


class PeerPool:
    """Connections to a changing set of addresses, reconnected if they fail.

    One task per address connects, reads and reconnects.
    """

    def __init__(
        self,
        local: auth.Identity,
        key_ring: auth.KeyRing,
        handlers: connection.Handlers,
        heartbeat: connection.HeartbeatSource,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._tls = tls
        self._hold_counts: collections.Counter[str] = collections.Counter()
        self._closing_tasks: dict[str, asyncio.Task[None]] = {}
        self._local = local
        self._key_ring = key_ring
        self._handlers = handlers
        self._heartbeat = heartbeat
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._additional_tasks: set[asyncio.Task[None]] = set()
        self._connections: dict[str, connection.PeerConnection] = {}
        self._addresses: set[str] = set()

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Connect to *addresses* and close the connections to all others.

        A connection that calls still hold is closed after the last release.
        """
        self._addresses = set(addresses)
        for address in set(self._tasks) - self._addresses:
            if not self._hold_counts[address]:
                self._tasks.pop(address).cancel()
            elif address not in self._closing_tasks:
                self._closing_tasks[address] = asyncio.create_task(
                    self._close_after_release(address)
                )
        for address in self._addresses - set(self._tasks):
            self._tasks[address] = asyncio.create_task(self._maintain(address))

    @contextlib.contextmanager
    def hold(self, address: str) -> Iterator[None]:
        """Keep the connection to *address* open inside the context.

        It stays open even if the address is removed from the set meanwhile.
        """
        self._hold_counts[address] += 1
        try:
            yield
        finally:
            self._hold_counts[address] -= 1
            if not self._hold_counts[address]:
                del self._hold_counts[address]

    def get(self, address: str) -> connection.PeerConnection | None:
        """Return the open connection to *address*, if there is one."""
        conn = self._connections.get(address)
        return conn if conn is not None and conn.is_open else None

    def open_connections(self) -> list[connection.PeerConnection]:
        """Return all open connections."""
        return [conn for conn in self._connections.values() if conn.is_open]

    async def open_additional(self, address: str) -> connection.PeerConnection:
        """Open another connection to *address*, which the caller closes.

        For use when the pooled connection may have stopped responding. A
        separate task reads from it until it is closed.
        """
        conn = await self._connect(address)
        # The event loop keeps no reference to a task.
        task = asyncio.create_task(conn.run())
        self._additional_tasks.add(task)
        task.add_done_callback(self._additional_tasks.discard)
        return conn

    async def stop(self) -> None:
        """Close all connections."""
        tasks = list(self._tasks.values())
        self._hold_counts.clear()
        self.set_addresses([])
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _connect(self, address: str) -> connection.PeerConnection:
        return await connection.connect(
            address,
            self._local,
            self._key_ring,
            self._handlers,
            self._heartbeat,
            tls=self._tls,
        )

    async def _close_after_release(self, address: str) -> None:
        while self._hold_counts[address]:
            await asyncio.sleep(RELEASE_POLL_S)
        del self._closing_tasks[address]
        if address not in self._addresses and address in self._tasks:
            self._tasks.pop(address).cancel()

    async def _maintain(self, address: str) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                conn = await self._connect(address)
                delay_s = RECONNECT_MIN_S
                self._connections[address] = conn
                try:
                    await conn.run()
                finally:
                    conn.close('removed from the pool')
                    if self._connections.get(address) is conn:
                        del self._connections[address]
                logging.info(
                    'connection to %s closed: %s', address, conn.close_reason
                )
            except errors.Refusal as exc:
                logging.warning('handshake with %s failed: %s', address, exc)
                delay_s = RECONNECT_MAX_S
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                delay_s = min(delay_s * 2, RECONNECT_MAX_S)
            except Exception:
                # If this task ended, nothing would reconnect to the peer.
                logging.exception('connecting to %s failed', address)
                delay_s = RECONNECT_MAX_S
            # Jitter, so that the peers of a restarted process do not all
            # reconnect at once.
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
