"""Composition root of the entry."""

from __future__ import annotations

import asyncio
import time

from absl import logging

from ..claims import claims
from ..daemon import http, lifecycle
from ..distribution import document, source, sync
from ..membership import hosts
from ..platform import http_store
from ..routing import load_view, power_of_two
from ..settings import schema
from ..streams import incoming
from ..table import model, queries
from ..wire import auth, connection, pool, server, tls
from ..wire.gen import ttypes
from . import admission, app, attempts, calls, claimed_calls, host_rows

FIRST_REPORTS_WAIT_S = 5.0
"""How long a starting entry waits for a target of each service."""

# The policies register themselves when imported.
_POLICIES = (power_of_two,)


class Entry:
    """The entry daemon; wires its parts and runs them."""

    def __init__(self, cfg: schema.EntrySettings) -> None:
        self._cfg = cfg
        self._store = http_store.HttpObjectStore(cfg.platform_url)
        self._table = document.VersionedDocument(model.TABLE_DOCUMENT)
        self._table.on_change(self._table_changed)
        self._hosts = document.VersionedDocument(hosts.HOSTS_DOCUMENT)
        self._view: queries.TableView | None = None
        self._load_view = load_view.LoadView()
        self._handlers = connection.Handlers()
        self._handlers.on_notice(ttypes.Heartbeat)(self._heard)
        self._handlers.closed.append(self._connection_closed)
        self._sync = sync.DocumentSync(
            {item.name: item for item in (self._table, self._hosts)},
            self._handlers,
        )
        self._source = source.PlatformSource(
            self._store, self._table, self._hosts
        )
        identity = auth.Identity(
            cfg.node,
            ttypes.Role.ENTRY,
            cfg.data_centre,
            cfg.deployment,
            lifecycle.new_incarnation(),
            cfg.listen_peers,
        )
        key_ring = auth.KeyRing(cfg.peer_keys_file)
        contexts = tls.contexts(cfg.tls)
        self._peers = pool.PeerPool(
            identity,
            key_ring,
            self._handlers,
            self._heartbeat,
            contexts.client,
        )
        self._server = server.PeerServer(
            identity,
            key_ring,
            self._handlers,
            self._heartbeat,
            contexts.server,
        )
        self._host_rows = host_rows.HostRows(
            self._hosts, self._peers, self._load_view, self._handlers
        )
        answers = incoming.IncomingAnswers(self._handlers)
        runner = attempts.AttemptRunner(self._peers, answers, self._load_view)
        claimed = claimed_calls.ClaimedCalls(
            claims.ClaimBook(self._store),
            runner,
            self._peers,
            self._load_view,
        )
        handler = calls.CallHandler(
            runner, self._load_view, lambda: self._view, claimed
        )
        self._app = app.CallerApp(
            cfg, handler, admission.OpenAdmission(), lambda: self._view
        )
        self._http = http.HttpServer(
            [
                *self._app.routes(),
                *http.operator_routes(self._not_ready_reason),
            ],
            cfg.listen_http,
            cfg.request_limits.max_connections,
            cfg.request_limits.max_header_bytes,
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._started_s = time.monotonic()
        self._was_ready = False
        self._is_stopping = False

    async def start(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        host, _, port = self._cfg.listen_peers.rpartition(':')
        await self._server.start(host, int(port))
        await self._http.start()
        self._tasks = [
            asyncio.create_task(self._source.follow_table()),
            asyncio.create_task(self._source.follow_hosts()),
        ]

    async def drain(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        deadline_s = time.monotonic() + self._cfg.drain_timeout_s
        # Calls are still taken until the balancer has seen /readyz fail.
        self._is_stopping = True
        await asyncio.sleep(self._cfg.drain_notice_s)
        self._app.draining = True
        while self._app.in_progress and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)
        if self._app.in_progress:
            logging.warning('%d calls are cut', self._app.in_progress)

    async def stop(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        for task in self._tasks:
            task.cancel()
        await self._http.stop()
        await self._server.stop()
        await self._peers.stop()
        await self._store.close()

    def _not_ready_reason(self) -> str | None:
        if self._is_stopping:
            return 'draining'
        if self._view is None:
            return 'no table yet'
        if not self._hosts.version:
            return 'no host list yet'
        waited_s = time.monotonic() - self._started_s
        missing = self._services_without_target()
        if missing and not self._was_ready and waited_s < FIRST_REPORTS_WAIT_S:
            return 'no target in service yet: ' + ', '.join(missing)
        # Later a service without targets does not make the entry unready:
        # the balancer would take it out for the other services too.
        self._was_ready = True
        return None

    def _services_without_target(self) -> list[str]:
        listed = {
            row['service']
            for row in self._hosts.rows.values()
            if row['role'] == 'agent'
        }
        in_service = {
            report.load.service_name
            for report in self._load_view.fresh_reports()
            if report.load.state == ttypes.TargetState.IN_SERVICE
        }
        return sorted(listed - in_service) if listed else ['any service']

    def _table_changed(self, change: document.Change) -> None:
        self._view = queries.TableView(
            model.Table(self._table.version, self._table.rows)
        )
        for conn in self._peers.open_connections():
            self._sync.push(conn, self._table.name)

    def _heard(
        self, conn: connection.PeerConnection, message: ttypes.Heartbeat
    ) -> None:
        self._sync.notice_versions(conn, message.documents)
        if message.load is not None:
            self._load_view.take(conn.peer, message.load, message.draining)

    def _connection_closed(self, conn: connection.PeerConnection) -> None:
        kept = self._peers.get(conn.peer.address)
        if kept is None or kept is conn:
            self._load_view.forget(conn.peer.node)

    def _heartbeat(self, conn: connection.PeerConnection) -> ttypes.Heartbeat:
        return ttypes.Heartbeat(
            sent_at_ms=time.monotonic_ns() // 1_000_000,
            documents=self._sync.versions(),
            draining=self._app.draining,
        )
