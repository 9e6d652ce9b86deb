"""Access of the operators' client to the platform and the daemons.

The platform is the service at ``platform_url``, see ``store.http_store``.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import AsyncIterator, Iterable, Mapping
from typing import Any

from ... import errors
from ..daemon import lifecycle
from ..distribution import document, sync
from ..membership import hosts, relays, rendezvous
from ..settings import schema
from ..store import api, http_store
from ..table import edits, model
from ..wire import auth, connection, tls
from ..wire.gen import ttypes
from . import operator_service

REQUEST_TIMEOUT_S = 2.0
MAX_CONCURRENT_CONNECTIONS = 64

PEER_FAILURES = (
    connection.ConnectionLost,
    errors.Refusal,
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
)


class PeerUnavailable(Exception):
    """A daemon is unreachable, did not answer in time or refused."""


class OperatorClient:
    """Access to the platform and the daemons; an async context manager."""

    def __init__(self, cfg: schema.OperatorSettings) -> None:
        """Create the client.

        :raises ValueError: the key file is invalid.
        """
        self.cfg = cfg
        self.store = http_store.HttpObjectStore(cfg.platform_url)
        self._key_ring = auth.KeyRing(cfg.peer_keys_file)
        self._tls = tls.contexts(cfg.tls).client
        self._identity = auth.Identity(
            f'operator-{cfg.operator}',
            ttypes.Role.OPERATOR,
            '',
            cfg.deployment,
            lifecycle.new_incarnation(),
        )
        self._connection_slots = asyncio.Semaphore(MAX_CONCURRENT_CONNECTIONS)

    async def __aenter__(self) -> OperatorClient:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.store.close()

    async def table(self) -> api.StoredObject:
        """Return the stored table; version 0 if there is none.

        Retries until the timeout of the settings has passed.

        :raises PlatformUnavailable: the platform did not answer until then.
        """
        deadline_s = time.monotonic() + self.cfg.timeout_s
        while True:
            try:
                found = await self.store.get(model.TABLE_KEY)
                return found or api.StoredObject(
                    model.TABLE_KEY, 0, {'rows': {}}
                )
            except api.PlatformUnavailable:
                if time.monotonic() > deadline_s:
                    raise
                await asyncio.sleep(0.2)

    async def hosts(self) -> list[api.HostRow]:
        """Return the host list, from a seed peer if the platform is down.

        :raises PlatformUnavailable: neither the platform nor a seed peer
            answers.
        """
        try:
            found = await self.store.hosts(0)
            return list(found.hosts) if found is not None else []
        except api.PlatformUnavailable as exc:
            failed = exc
        for address in self.cfg.seed_peers:
            with contextlib.suppress(PeerUnavailable):
                return await self._fetch_hosts_from(address)
        raise failed

    async def status(self, address: str) -> dict[str, Any]:
        """Return the status of the daemon at *address*.

        :raises PeerUnavailable: the daemon did not answer or refused.
        """
        return await self._request_status(
            address, ttypes.StatusRequest(operator_service.STATUS)
        )

    async def withdraw_direct(self, address: str, key: str) -> dict[str, Any]:
        """Send a direct withdrawal of a row to the daemon at *address*.

        :raises PeerUnavailable: the daemon did not answer or refused.
        """
        argument = json.dumps({'rows': {key: None}}).encode()
        message = ttypes.StatusRequest(
            operator_service.WITHDRAW_DIRECT, argument
        )
        return await self._request_status(address, message)

    async def send_to_relays(
        self, accepted: edits.Accepted, listed: Iterable[api.HostRow]
    ) -> int:
        """Send an accepted table to the relays; return how many confirmed it.

        The platform may go down right after it accepted the edit, before the
        nodes have read the new version from it; the relays then distribute it
        nevertheless.
        """
        change = document.Change(0, accepted.version, accepted.rows, ())
        delta = sync.encode_delta(model.TABLE_DOCUMENT, change)
        results = await asyncio.gather(
            *(
                self._send_delta(row.address, delta)
                for row in _choose_relays(listed)
            )
        )
        return sum(results)

    async def _send_delta(
        self, address: str, delta: ttypes.DocumentDelta
    ) -> bool:
        try:
            async with self._connect(address) as conn:
                await conn.send(delta)
                # Messages are handled in order, so a reply to this request
                # means that the delta has been handled.
                request = ttypes.StatusRequest(operator_service.STATUS)
                await conn.request(request, REQUEST_TIMEOUT_S)
        except PeerUnavailable:
            return False
        return True

    async def _fetch_hosts_from(self, address: str) -> list[api.HostRow]:
        async with self._connect(address) as conn:
            reply = await conn.request(
                ttypes.DocumentFetch(hosts.HOSTS_DOCUMENT, 0),
                REQUEST_TIMEOUT_S,
            )
        return hosts.from_rows(json.loads(reply.rows))

    async def _request_status(
        self, address: str, message: ttypes.StatusRequest
    ) -> dict[str, Any]:
        async with self._connect(address) as conn:
            reply = await conn.request(message, REQUEST_TIMEOUT_S)
        return json.loads(reply.json_text)

    @contextlib.asynccontextmanager
    async def _connect(
        self, address: str
    ) -> AsyncIterator[connection.PeerConnection]:
        try:
            async with self._connection_slots:
                conn = await connection.connect(
                    address,
                    self._identity,
                    self._key_ring,
                    connection.Handlers(),
                    _make_heartbeat,
                    REQUEST_TIMEOUT_S,
                    self._tls,
                )
                reader = asyncio.create_task(conn.run())
                try:
                    yield conn
                finally:
                    conn.close('done')
                    reader.cancel()
                    await asyncio.gather(reader, return_exceptions=True)
        except PEER_FAILURES as exc:
            raise PeerUnavailable(f'{address}: {exc!r}') from exc


def _make_heartbeat(conn: connection.PeerConnection) -> ttypes.Heartbeat:
    return ttypes.Heartbeat(
        sent_at_ms=time.monotonic_ns() // 1_000_000,
        documents=[],
        draining=False,
    )


def _choose_relays(listed: Iterable[api.HostRow]) -> list[api.HostRow]:
    entries: Mapping[str, dict[str, api.HostRow]] = {}
    for row in listed:
        if row.role == 'entry':
            entries.setdefault(row.data_centre, {})[row.node] = row
    return [
        rows[node]
        for name, rows in entries.items()
        for node in rendezvous.highest_ranked(
            relays.election_key(name), rows, relays.RELAYS_PER_DATA_CENTRE
        )
    ]
