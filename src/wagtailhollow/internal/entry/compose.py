"""Creates, connects and runs the components of the entry daemon."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Sequence

from absl import logging

from ..claims import claims
from ..daemon import http, lifecycle
from ..distribution import document, initial_table, overrides, source, sync
from ..limits import baselines, blocks, method, peers
from ..membership import hosts, relays, subset
from ..observability import metrics
from ..operators import operator_service
from ..routing import (
    least_reported,
    load_view,
    power_of_two,
    prefix_affinity,
    round_robin,
)
from ..settings import schema
from ..store import api, http_store
from ..streams import incoming
from ..table import model, queries
from ..wire import auth, connection, pool, server, tls
from ..wire.gen import ttypes
from . import (
    admission,
    agent_targets,
    app,
    attempts,
    caller_memory,
    calls,
    claimed_calls,
    host_list,
    http_protocol,
)

PEERS_UPDATE_INTERVAL_S = 0.5
"""Interval for updating the wanted peers, since liveness changes with time."""

FIRST_REPORTS_WAIT_S = 5.0
"""Longest time that a starting entry waits for a target of each service."""

# The policies and limit methods register themselves when imported.
_POLICIES = (least_reported, power_of_two, prefix_affinity, round_robin)
_LIMIT_METHODS = (blocks, baselines)


class Entry:
    """The entry daemon."""

    def __init__(self, cfg: schema.EntrySettings) -> None:
        self._cfg = cfg
        self._store = http_store.HttpObjectStore(cfg.platform_url)
        self._table = document.VersionedDocument(model.TABLE_DOCUMENT)
        self._table.on_change(self._on_table_changed)
        self._hosts = document.VersionedDocument(hosts.HOSTS_DOCUMENT)
        self._hosts.on_change(self._on_hosts_changed)
        self._table_view: queries.TableView | None = None
        self._operator_withdrawals = overrides.DirectWithdrawals(
            self._table, self._publish_table_view
        )
        self._entries_sharing_target = 1
        self._load_view = load_view.LoadView(
            entry_count=lambda: self._entries_sharing_target
        )
        self._handlers = connection.Handlers()
        self._handlers.on_one_way(ttypes.Heartbeat)(self._on_heartbeat)
        self._handlers.open_callbacks.append(self._on_connection_opened)
        self._handlers.close_callbacks.append(self._on_connection_closed)
        self._sync = sync.DocumentSync(
            {item.name: item for item in (self._table, self._hosts)},
            self._handlers,
        )
        self._relay_duty = relays.RelayElection(cfg.node, cfg.data_centre)
        self._source = source.PlatformSource(
            self._store, self._table, self._hosts, self._relay_duty
        )
        self._table_start = initial_table.InitialTable(
            self._store, self._table, self._publish_table_view
        )
        self._operators = operator_service.OperatorService(
            self._handlers,
            (self._table, self._hosts),
            self._operator_withdrawals,
            self._status,
            self._all_peers,
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
        self._host_list_follower = host_list.HostListFollower(
            self._hosts, self._peers, self._load_view, self._handlers
        )
        answers = incoming.IncomingAnswers(self._handlers)
        runner = attempts.AttemptRunner(self._peers, answers, self._load_view)
        claimed = claimed_calls.ClaimedCalls(
            claims.ClaimStore(self._store),
            runner,
            self._peers,
            self._load_view,
        )
        handler = calls.CallHandler(
            runner,
            agent_targets.AgentTargets(
                self._load_view,
                lambda: self._table_view,
                lambda address: self._peers.get(address) is not None,
            ),
            claimed,
            cfg.request_limits.max_wait_s,
        )
        self._entry_peers = peers.EntryPeers(
            cfg.node, cfg.data_centre, self._peers
        )
        self._limits = method.create(
            cfg.limit_method,
            method.Context(
                self._store,
                self._entry_peers,
                lambda name: (
                    self._table_view and self._table_view.organisation(name)
                ),
            ),
        )
        if isinstance(self._limits, blocks.OwnerBlocks):
            block_owner = self._limits.owner
            peers.serve(
                self._handlers, block_owner.grant, block_owner.accept_return
            )
        capacity = admission.ServiceCapacity(
            self._load_view,
            lambda: self._table_view,
            lambda: self._entries_sharing_target,
        )
        self._admission = admission.Admission(
            cfg.request_limits,
            self._limits,
            capacity,
            lambda: self._table_view,
        )
        self._app = app.CallerApp(
            cfg, handler, self._admission, lambda: self._table_view
        )
        self._http = http.HttpServer(
            [
                *self._app.routes(),
                *http.health_and_metrics_routes(self._not_ready_reason),
            ],
            cfg.listen_http,
            protocol=http_protocol.bounded_protocol(
                http_protocol.ConnectionLimits(
                    cfg.request_limits.max_connections,
                    cfg.request_limits.max_header_bytes,
                    cfg.request_limits.body_timeout_s,
                ),
                self._app.overloaded,
                caller_memory.CallerMemory(
                    cfg.request_limits.max_request_memory_bytes
                ),
            ),
        )
        self._agents: dict[str, str] = {}
        # Peers to connect to, by address; the connections may not be open yet.
        self._wanted_agents: dict[str, str] = {}
        self._peer_versions: dict[str, int] = {}
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
            lifecycle.create_background_task(self._table_start.run()),
            lifecycle.create_background_task(
                self._update_peers_periodically()
            ),
            lifecycle.create_background_task(self._source.follow_table()),
            lifecycle.create_background_task(self._source.follow_hosts()),
            lifecycle.create_background_task(self._limits.run()),
        ]

    async def drain(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        deadline_s = time.monotonic() + self._cfg.drain_timeout_s
        # Calls are accepted until the load balancer has seen /readyz fail.
        self._is_stopping = True
        await asyncio.sleep(self._cfg.drain_notice_s)
        self._app.draining = True
        while self._app.in_progress and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)
        if self._app.in_progress:
            logging.warning(
                '%d unfinished calls are cut off at the drain time-out',
                self._app.in_progress,
            )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(deadline_s - time.monotonic()):
                await self._http.flush()

    async def stop(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        for task in self._tasks:
            task.cancel()
        await self._http.stop()
        await self._limits.close()
        await self._server.stop()
        await self._peers.stop()
        await self._store.close()

    def _not_ready_reason(self) -> str | None:
        if self._is_stopping:
            return 'draining'
        if self._table_view is None:
            return 'no table yet'
        if not self._hosts.version:
            return 'no host list yet'
        waited_s = time.monotonic() - self._started_s
        missing = self._services_without_targets()
        if missing and not self._was_ready and waited_s < FIRST_REPORTS_WAIT_S:
            return 'no target in service yet: ' + ', '.join(missing)
        # Later a service without targets does not make the entry unready:
        # the load balancer would remove the entry for the other services too.
        self._was_ready = True
        return None

    def _services_without_targets(self) -> list[str]:
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

    def _on_table_changed(self, change: document.Change) -> None:
        self._operator_withdrawals.table_changed(change)
        self._publish_table_view()
        self._push_document(self._table.name)

    def _publish_table_view(self) -> None:
        if self._table_start.is_confirmed:
            rows = self._operator_withdrawals.overlay(self._table.rows)
            self._table_view = queries.TableView(
                model.Table(self._table.version, rows)
            )
            metrics.document_version.labels(self._table.name).set(
                self._table.version
            )

    def _on_hosts_changed(self, change: document.Change) -> None:
        rows = hosts.from_rows(self._hosts.rows)
        self._relay_duty.set_hosts(rows)
        self._agents = {
            row.address: row.target
            for row in subset.select_agents(
                self._cfg.node, self._cfg.data_centre, rows
            )
        }
        self._entry_peers.set_hosts(rows)
        self._entries_sharing_target = _entries_per_target(
            rows, len(self._agents)
        )
        self._update_wanted_peers()
        self._push_document(self._hosts.name)
        metrics.document_version.labels(self._hosts.name).set(
            self._hosts.version
        )

    def _push_document(self, name: str) -> None:
        """Send a change to agents and, as a relay, to local entries."""
        is_relay = self._relay_duty.is_relay()
        self._sync.push(
            [
                conn
                for conn in self._all_peers()
                if conn.peer.role == ttypes.Role.AGENT
                or (
                    is_relay and conn.peer.data_centre == self._cfg.data_centre
                )
            ],
            name,
        )

    def _all_peers(self) -> list[connection.PeerConnection]:
        accepted = [
            conn
            for conn in self._server.connections
            if conn.peer.role == ttypes.Role.ENTRY
        ]
        return [*self._peers.open_connections(), *accepted]

    def _update_wanted_peers(self) -> None:
        # Seed peers are needed only to start while the platform is down.
        is_started = self._table_start.is_confirmed and self._hosts.version
        seeds = () if is_started else self._cfg.seed_peers
        # The connection to an agent that is no longer listed stays open until
        # its calls are done; otherwise their answers would be truncated.
        busy = {
            address: target
            for address, target in self._wanted_agents.items()
            if self._load_view.outstanding(target) > 0
        }
        self._wanted_agents = {**busy, **self._agents}
        self._peers.set_addresses(
            [
                *self._wanted_agents,
                *self._relay_duty.addresses_to_connect(),
                *self._entry_peers.addresses(),
                *seeds,
            ]
        )

    async def _update_peers_periodically(self) -> None:
        while True:
            self._update_wanted_peers()
            await asyncio.sleep(PEERS_UPDATE_INTERVAL_S)

    def _status(self) -> dict[str, object]:
        reason = self._not_ready_reason()
        return {
            'role': 'entry',
            'ready': reason is None,
            'not_ready_reason': reason or '',
            'in_progress': self._app.in_progress,
            'is_relay': self._relay_duty.is_relay(),
            'platform_is_current': self._source.is_current(),
            'agent_table_versions': self._peer_versions,
        }

    def _on_heartbeat(
        self, conn: connection.PeerConnection, message: ttypes.Heartbeat
    ) -> None:
        self._relay_duty.heard(conn.peer, message.documents)
        self._sync.fetch_newer(conn, message.documents)
        self._table_start.heard(conn.peer.node, message.documents)
        if conn.peer.role == ttypes.Role.AGENT:
            self._peer_versions[conn.peer.node] = max(
                (
                    item.version
                    for item in message.documents
                    if item.name == self._table.name
                ),
                default=0,
            )
        if message.load is not None:
            self._load_view.record_report(
                conn.peer, message.load, message.draining
            )
            self._admission.apply_load_report(message.load)

    def _on_connection_opened(self, conn: connection.PeerConnection) -> None:
        if conn.peer.role == ttypes.Role.ENTRY:
            self._relay_duty.connection_opened(conn.peer, conn)

    def _on_connection_closed(self, conn: connection.PeerConnection) -> None:
        if conn.peer.role == ttypes.Role.ENTRY:
            self._relay_duty.connection_closed(conn.peer, conn)
        elif conn.peer.role == ttypes.Role.AGENT:
            # Another connection to the agent may still be open.
            pooled = self._peers.get(conn.peer.address)
            if pooled is None or pooled is conn:
                self._load_view.remove_agent(conn.peer.node)
                self._peer_versions.pop(conn.peer.node, None)

    def _versions(self) -> list[ttypes.DocumentVersion]:
        versions = self._sync.versions()
        if self._relay_duty.is_relay() and self._source.is_current():
            relay_mark = ttypes.DocumentVersion(relays.RELAY_MARKER, 1)
            versions.append(relay_mark)
        return versions

    def _heartbeat(self, conn: connection.PeerConnection) -> ttypes.Heartbeat:
        return ttypes.Heartbeat(
            sent_at_ms=time.monotonic_ns() // 1_000_000,
            documents=self._versions(),
            draining=self._app.draining,
        )


def _entries_per_target(rows: Sequence[api.HostRow], own: int) -> int:
    """Return how many entries share a target if each uses *own* agents."""
    entries = sum(row.role == 'entry' for row in rows)
    agents = sum(row.role == 'agent' for row in rows)
    return max(1, round(entries * own / max(agents, 1)))
