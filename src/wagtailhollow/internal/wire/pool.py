"""Keeps one connection to each wanted peer, with one task for each."""

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
    """Reconnecting connections to a changing set of addresses."""

    def __init__(
        self,
        local: auth.Identity,
        key_ring: auth.KeyRing,
        handlers: connection.Handlers,
        heartbeat: connection.HeartbeatSource,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._tls = tls
        self._holds: collections.Counter[str] = collections.Counter()
        self._releasing: dict[str, asyncio.Task[None]] = {}
        self._local = local
        self._key_ring = key_ring
        self._handlers = handlers
        self._heartbeat = heartbeat
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._by_address: dict[str, connection.PeerConnection] = {}
        self._wanted: set[str] = set()

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Connect to *addresses* and drop connections to all others.

        A connection that calls still hold is dropped once they are done.
        """
        self._wanted = set(addresses)
        for address in set(self._tasks) - self._wanted:
            if not self._holds[address]:
                self._tasks.pop(address).cancel()
            elif address not in self._releasing:
                self._releasing[address] = asyncio.create_task(
                    self._release(address)
                )
        for address in self._wanted - set(self._tasks):
            self._tasks[address] = asyncio.create_task(self._keep(address))

    @contextlib.contextmanager
    def hold(self, address: str) -> Iterator[None]:
        """Keep the connection to *address*, wanted or not, meanwhile."""
        self._holds[address] += 1
        try:
            yield
        finally:
            self._holds[address] -= 1
            if not self._holds[address]:
                del self._holds[address]

    def get(self, address: str) -> connection.PeerConnection | None:
        """Return the open connection to *address*, if there is one."""
        conn = self._by_address.get(address)
        return conn if conn is not None and conn.is_open else None

    def open_connections(self) -> list[connection.PeerConnection]:
        """Return all open connections."""
        return [conn for conn in self._by_address.values() if conn.is_open]

    async def open_additional(self, address: str) -> connection.PeerConnection:
        """Open one more connection to *address*, for the caller to close.

        The caller uses it when the kept connection may have gone silent. Its
        reader runs in a task that ends with the connection.
        """
        conn = await self._connect(address)
        task = asyncio.create_task(conn.run())
        task.add_done_callback(lambda _: None)
        return conn

    async def stop(self) -> None:
        """Close all connections."""
        tasks = list(self._tasks.values())
        self._holds.clear()
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

    async def _release(self, address: str) -> None:
        while self._holds[address]:
            await asyncio.sleep(RELEASE_POLL_S)
        del self._releasing[address]
        if address not in self._wanted and address in self._tasks:
            self._tasks.pop(address).cancel()

    async def _keep(self, address: str) -> None:
        delay_s = RECONNECT_MIN_S
        while True:
            try:
                conn = await self._connect(address)
                delay_s = RECONNECT_MIN_S
                self._by_address[address] = conn
                try:
                    await conn.run()
                finally:
                    conn.close('no longer wanted')
                    if self._by_address.get(address) is conn:
                        del self._by_address[address]
                logging.info(
                    'connection to %s ended: %s', address, conn.close_reason
                )
            except errors.Refusal as exc:
                logging.warning('peer %s refused: %s', address, exc)
                delay_s = RECONNECT_MAX_S
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                delay_s = min(delay_s * 2, RECONNECT_MAX_S)
            except Exception:
                # Without this task the peer would never be reached again.
                logging.exception('connecting to %s failed', address)
                delay_s = RECONNECT_MAX_S
            # Jitter keeps the peers of a restarted process from coming back
            # at the same moment.
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.0))
