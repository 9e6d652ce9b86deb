"""Composition root of the agent."""

from __future__ import annotations

import asyncio
import time

from absl import logging

from ... import errors
from ..daemon import http, lifecycle
from ..distribution import document, initial_table, overrides, sync
from ..experts import group as expert_group
from ..membership import hosts
from ..observability import metrics
from ..operators import operator_service
from ..settings import schema
from ..store import http_store
from ..table import model, queries
from ..wire import auth, connection, pool, server, tls
from ..wire.gen import ttypes
from . import admission, calls, ledger, ramp, watcher
from .backends import model_engine, plain_service, registry

CATCH_UP_TIMEOUT_S = 2.0
EXPIRE_PERIOD_S = 5.0
DRAIN_POLL_S = 0.05

# The adapters register themselves when imported.
_ADAPTERS = (model_engine, plain_service)


class Agent:
    """The agent daemon: connects its components and runs them."""

    def __init__(self, cfg: schema.AgentSettings) -> None:
        self._cfg = cfg
        self._incarnation = lifecycle.new_incarnation()
        self._store = http_store.HttpObjectStore(cfg.platform_url)
        self._table = document.VersionedDocument(model.TABLE_DOCUMENT)
        self._table.on_change(self._on_table_change)
        self._view: queries.TableView | None = None
        self._operator_withdrawals = overrides.DirectWithdrawals(
            self._table, self._publish_table
        )
        self._table_start = initial_table.InitialTable(
            self._store, self._table, self._publish_table
        )
        self._handlers = connection.Handlers()
        self._operators = operator_service.OperatorService(
            self._handlers,
            (self._table,),
            self._operator_withdrawals,
            self._status,
            tuple,
        )
        # Only the agent of a rank needs the host list, to find its peers.
        self._hosts = document.VersionedDocument(hosts.HOSTS_DOCUMENT)
        # The entries send an agent only its own row of the host list: with
        # thousands of agents the whole list would cost each of them memory
        # and traffic.
        self._host = document.VersionedDocument(
            hosts.own_row_document(cfg.node)
        )
        self._host.on_change(self._on_host_change)
        documents = {item.name: item for item in (self._table, self._host)}
        if cfg.group is not None:
            documents[self._hosts.name] = self._hosts
        self._sync = sync.DocumentSync(documents, self._handlers)
        self._ramp = ramp.Ramp(cfg.ramp)
        self._ledger = ledger.Ledger()
        self._backend = registry.BACKENDS[cfg.backend.kind](cfg.backend.url)
        self._admission = admission.AdmissionController(
            cfg.data_centre, cfg.target, self._ramp, lambda: self._view
        )
        self._watcher = watcher.TargetWatcher(
            self._backend, self._admission, self._ramp, self._announce_state
        )
        self._calls = calls.CallServer(
            cfg.target,
            self._incarnation,
            self._backend,
            self._admission,
            self._ramp,
            self._watcher,
            self._ledger,
            self._catch_up,
            self._load,
            self._handlers,
        )
        self._handlers.on_one_way(ttypes.Heartbeat)(self._on_heartbeat)
        identity = auth.Identity(
            cfg.node,
            ttypes.Role.AGENT,
            cfg.data_centre,
            cfg.deployment,
            self._incarnation,
            cfg.listen_peers,
        )
        self._peers = server.PeerServer(
            identity,
            auth.KeyRing(cfg.peer_keys_file),
            self._handlers,
            self._heartbeat,
            tls.contexts(cfg.tls).server,
        )
        self._group = self._create_group(identity)
        self._announced_state: tuple[int, int] = (
            ttypes.TargetState.STARTING,
            0,
        )
        self._http = http.HttpServer(
            http.health_and_metrics_routes(self._not_ready_reason),
            cfg.listen_http,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        host, _, port = self._cfg.listen_peers.rpartition(':')
        await self._peers.start(host, int(port))
        await self._http.start()
        if self._group is not None:
            self._group.start()
        self._tasks = [
            lifecycle.create_background_task(self._table_start.run()),
            lifecycle.create_background_task(self._watcher.run()),
            lifecycle.create_background_task(self._expire()),
        ]

    async def drain(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        self._admission.draining = True
        self._announce_state()
        deadline_s = time.monotonic() + self._cfg.drain_timeout_s
        while self._calls.unfinished and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        if self._calls.unfinished:
            logging.warning(
                '%d unfinished calls are cut at the drain time-out',
                self._calls.unfinished,
            )
        for conn in self._peers.connections:
            await conn.flush()

    async def stop(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        for task in self._tasks:
            task.cancel()
        if self._group is not None:
            await self._group.stop()
        await self._peers.stop()
        await self._http.stop()
        await self._backend.close()
        await self._store.close()

    def _create_group(
        self, identity: auth.Identity
    ) -> expert_group.ExpertGroup | None:
        cfg = self._cfg
        is_rank = cfg.group is not None and cfg.rank is not None
        if not is_rank or cfg.backend.kind != 'model_engine':
            return None
        peers = pool.PeerPool(
            identity,
            auth.KeyRing(cfg.peer_keys_file),
            self._handlers,
            self._heartbeat,
            tls.contexts(cfg.tls).client,
        )
        return expert_group.ExpertGroup(
            cfg,
            self._incarnation,
            self._store,
            self._hosts,
            self._backend,
            peers,
            self._handlers,
        )

    def _not_ready_reason(self) -> str | None:
        state = ttypes.TargetState(self._admission.state())
        if state is ttypes.TargetState.IN_SERVICE:
            return None
        return f'the target is {state.name.lower()}'

    def _on_table_change(self, change: document.Change) -> None:
        self._operator_withdrawals.table_changed(change)
        self._publish_table()

    def _publish_table(self) -> None:
        if not self._table_start.is_confirmed:
            return
        was_withdrawn = self._is_withdrawn()
        rows = self._operator_withdrawals.overlay(self._table.rows)
        self._view = queries.TableView(model.Table(self._table.version, rows))
        metrics.document_version.labels(self._table.name).set(
            self._table.version
        )
        if was_withdrawn and not self._is_withdrawn():
            # The load that the target served before the withdrawal says
            # little about what it can serve now.
            self._ramp.reset()
        row = self._view.target(self._cfg.target)
        self._ramp.set_max_cap(row.max_concurrent)
        self._announce_state()

    def _is_withdrawn(self) -> bool:
        return self._view is not None and self._view.is_withdrawn(
            self._cfg.data_centre, self._cfg.target
        )

    def _on_host_change(self, change: document.Change) -> None:
        row = self._host.rows.get(self._cfg.node, {})
        self._admission.is_listed_as_leaving = (
            row.get('state') == hosts.LEAVING
        )
        self._announce_state()

    def _announce_state(self) -> None:
        """Send heartbeats at once if the state or the ramp's epoch changed."""
        found = (self._admission.state(), self._ramp.epoch)
        if found == self._announced_state:
            return
        self._announced_state = found
        for conn in self._peers.connections:
            conn.send_heartbeat()

    def _status(self) -> dict[str, object]:
        load = self._load()
        reason = self._not_ready_reason()
        return {
            'role': 'agent',
            'ready': reason is None,
            'not_ready_reason': reason or '',
            'target': self._cfg.target,
            'service': self._cfg.service,
            'group': self._cfg.group or '',
            'state': ttypes.TargetState(load.state).name.lower(),
            'running': load.running,
            'queued': load.queued,
            'cap': load.cap,
            'cap_limit': load.cap_limit,
        }

    def _on_heartbeat(
        self, conn: connection.PeerConnection, message: ttypes.Heartbeat
    ) -> None:
        self._sync.fetch_newer(conn, message.documents)
        self._table_start.heard(conn.peer.node, message.documents)

    async def _catch_up(
        self, conn: connection.PeerConnection, version: int
    ) -> None:
        if version < self._table.version:
            # The heartbeat names the newer version, which the entry fetches.
            conn.send_heartbeat()
        if version <= self._table.version:
            return
        try:
            await self._sync.fetch(conn, self._table.name)
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                await self._table.wait_for(version)
        except (connection.ConnectionLost, TimeoutError) as exc:
            raise errors.Refusal(
                errors.ErrorKind.NOT_READY,
                f'the agent did not receive version {version} of the table',
            ) from exc

    def _load(self) -> ttypes.TargetLoad:
        load = self._watcher.load
        return ttypes.TargetLoad(
            target=self._cfg.target,
            service_name=self._cfg.service,
            state=self._admission.state(),
            running=self._admission.running
            + self._admission.untracked_running,
            queued=load.queued if load else 0,
            cap=self._ramp.cap,
            generation=load.generation if load else 0,
            agent_clock_ms=self._ledger.now_ms(),
            report_age_ms=self._watcher.report_age_ms(),
            first_token_ms=load.first_token_ms if load else 0.0,
            models=list(self._cfg.backend.models),
            cap_limit=self._ramp.max_cap,
        )

    def _heartbeat(self, conn: connection.PeerConnection) -> ttypes.Heartbeat:
        return ttypes.Heartbeat(
            sent_at_ms=self._ledger.now_ms(),
            documents=self._sync.versions(),
            load=self._load(),
            draining=self._admission.is_leaving,
        )

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_PERIOD_S)
            self._ledger.expire()
            self._calls.expire()
