"""Composition root of the entry that is deployed on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import dataclasses
import random

from starlette import applications, routing

from ...daemon import http, lifecycle
from ...datagram import endpoint, load_rows, messages
from ...directory import follow, model, state
from ...hostcfg import model as hostcfg
from ...http1 import byte_budget, pool
from ...observability import decisions, metrics
from ...platform import manifest, store
from ...platform import targets as registrations
from ...retries import budget
from ...routing import power_of_two
from .. import caller_memory, calls, http_protocol
from ..shortage import demand, order, outlook, waiting
from . import (
    app,
    attempts,
    freshness,
    planned_stop,
    prompt_holds,
    routed_call,
    shares,
    targets,
    watch_times,
)

_POLICIES = (power_of_two,)


METRICS_PORT = 9464
"""Port of the metrics endpoint, also set in deploy/system.toml; the usual port
of Prometheus exporters in applications."""

SUBSCRIBE_PERIOD_S = 1.0
"""Period of the subscription messages; agents drop an entry after 3 s without
one."""

INITIAL_SUBSCRIBE_PERIOD_S = 0.25
"""Subscription period until an agent has listed the entries. Without the list
an entry sends few calls to cold targets."""

REPEAT_HOLDS_PERIOD_S = 1.0
TOLD_ENTRIES = 3
"""Number of entries that are told each time of the prompts that are held."""

ASKED_AGENTS = 4
"""Number of agents that are asked for their list of entries each time."""

CALLER_SOCKET_SHARE = 0.675
"""Share of the sockets that a process may open which callers may use; up to
http_protocol.MAX_EXCESS_CONNECTIONS more are served as well, and any beyond
these are aborted. The rest is for connections to targets."""

ANSWERS_MEMORY_SHARE = 0.1
"""Share of the memory for bytes of answers that wait for their callers."""

REQUESTS_MEMORY_SHARE = 0.2
"""Share of the memory for requests that callers send, until their answers."""

MAX_PROBE_CONNECTIONS = 32
"""Connections for readiness and metrics; http_protocol.MAX_EXCESS_CONNECTIONS
more are served as well."""

RESERVED_FILES = 200
"""File descriptors that are not available for sockets."""

LAST_ANSWERS_S = 0.2
"""Time for writing the answers of the calls that the end of a stop ends."""

MAX_WAIT_S = 3.0
"""Maximum wait of a call for a target; a group that lost a rank serves again
after 2 to 3 s."""

MAX_WAIT_SHARE = 0.35
"""Maximum share of a call's remaining time that it may wait for a target;
refused callers retry after up to a third of their remaining time."""

MAX_REJECTIONS = 6
"""Number of rejections by targets after which a call is refused; each attempt
after a rejection spends from the retry budget."""


def max_caller_connections(max_files: int) -> int:
    """Return how many connections of callers are accepted.

    :param max_files: file descriptors that the process may open.
    """
    return max(1, int((max_files - RESERVED_FILES) * CALLER_SOCKET_SHARE))


class DirectEntry:
    """The entry daemon: creates its components and runs them."""

    def __init__(self, cfg: hostcfg.HostSettings) -> None:
        self._cfg = cfg
        client = self._client = store.StoreClient(cfg.store_address)
        self._directory = state.Directory()
        times = watch_times.from_bounds(cfg.bounds)
        self._followers = (
            follow.Follower(
                'manifest',
                store.ObjectSource(client, manifest.KIND, manifest.decode),
                self._apply_manifest,
                times.manifest_s,
                on_loss=self._suspect_loss,
            ),
            follow.Follower(
                'targets',
                store.ObjectSource(
                    client, registrations.KIND, registrations.decode
                ),
                self._directory.apply_targets,
                times.targets_s,
                times.targets_batch_s,
            ),
            follow.Follower(
                'withdrawals',
                store.ObjectSource(
                    client,
                    manifest.WITHDRAWALS_KIND,
                    manifest.decode_withdrawal,
                ),
                self._directory.apply_withdrawals,
                times.withdrawals_s,
            ),
        )
        self._freshness = freshness.Freshness(
            self._followers[0].age_s,
            cfg.bounds.revoke_s,
            cfg.bounds.is_revocation_strict,
            cfg.bounds.apply_s,
        )
        budget = byte_budget.ByteBudget(
            cfg.memory_bytes * ANSWERS_MEMORY_SHARE
        )
        self._connections = pool.ConnectionPool(budget)
        self._directory.target_listeners.append(self._targets_changed)
        self._shares = shares.EntryShares(
            cfg.ip, lambda: len(self._directory.known_targets())
        )
        self._demand = demand.Demand()
        self._turns = waiting.OrderedTurns(_rank, _retry_after_s)
        self._targets = targets.DirectTargets(
            self._directory,
            self._cold_limit,
            regions=cfg.regions,
            demand=self._demand,
        )
        self._holds = prompt_holds.PromptHolds(
            self._send_to_entries,
            lambda message, ip: self._endpoint.send(
                message, (ip,), self._port
            ),
        )
        self._stop = planned_stop.PlannedStop()
        handler = calls.CallHandler(
            attempts.HttpAttemptRunner(
                self._connections,
                self._targets,
                self._holds,
                self._check_before_sending,
                budget,
            ),
            self._targets,
            None,
            MAX_WAIT_S,
            calls.RetryRules(
                max_rejections=MAX_REJECTIONS,
                rejections_use_budget=True,
                max_wait_share=MAX_WAIT_SHARE,
                new_budget=self._new_budget,
                retry_after_s=_retry_after_s,
            ),
            self._screen,
            self._turns,
        )
        self._app = app.RoutedApp(
            self._directory,
            self._freshness,
            handler,
            self._stop,
            self._targets,
            self._demand,
        )
        limits = http_protocol.ConnectionLimits(
            max_connections=max_caller_connections(cfg.max_files),
            body_timeout_s=15.0,
        )
        memory = caller_memory.CallerMemory(
            cfg.memory_bytes * REQUESTS_MEMORY_SHARE
        )
        self._caller_server = http.HttpServer(
            [routing.Mount('/', self._app)],
            cfg.callers_address,
            protocol=http_protocol.bounded_protocol(limits, self._app, memory),
        )
        self._readiness_server, self._metrics_server = (
            self._probe_server(address, memory)
            for address in (cfg.readiness_address, f'{cfg.ip}:{METRICS_PORT}')
        )
        self._targets_added = asyncio.Event()
        self._subscribed_ips: set[str] = set()
        self._port = cfg.internal_ports[0]
        self._endpoint = endpoint.Endpoint(messages.MESSAGE_TYPES)
        self._endpoint.add_handler(messages.LoadReport, self._on_load_report)
        self._endpoint.add_handler(messages.LoadBatch, self._on_load_batch)
        self._endpoint.add_handler(messages.EntryList, self._on_entry_list)
        for message_type, handle in (
            (messages.PromptSuspect, self._holds.on_suspect),
            (messages.PromptHold, self._holds.on_hold),
            (messages.PromptAnswered, self._holds.on_answered),
            (messages.PromptHoldsWanted, self._holds.on_wanted),
        ):
            self._endpoint.add_handler(message_type, handle)
        self._tasks: list[asyncio.Task[None]] = []

    def _probe_server(
        self, address: str, memory: caller_memory.CallerMemory
    ) -> http.HttpServer:
        """Return a server for probes, which anyone may reach as well."""
        routes = http.health_and_metrics_routes(self._not_ready_reason)
        limits = http_protocol.ConnectionLimits(
            max_connections=MAX_PROBE_CONNECTIONS
        )
        protocol = http_protocol.bounded_protocol(
            limits, applications.Starlette(routes=routes), memory
        )
        return http.HttpServer(routes, address, protocol=protocol)

    async def start(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        decisions.observers.append(metrics.count_unusable_input)
        self._tasks = [
            lifecycle.create_background_task(follower.run())
            for follower in self._followers
        ]
        await self._endpoint.open(self._cfg.ip, self._port)
        self._tasks += [
            lifecycle.create_background_task(self._subscribe()),
            lifecycle.create_background_task(self._repeat_holds()),
        ]
        await self._readiness_server.start()
        try:
            await self._metrics_server.start()
        except OSError as exc:
            # Calls can be served without metrics.
            decisions.log('metrics_unavailable', reason=str(exc))
        await self._caller_server.start()
        decisions.log('started', address=self._cfg.callers_address)

    async def drain(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        self._stop.begin(
            planned_stop.StopTimes.within(self._cfg.bounds.grace_s)
        )
        decisions.log('draining', in_progress=self._app.in_progress)
        await asyncio.sleep(self._stop.notice_left_s())
        decisions.log('closing', in_progress=self._app.in_progress)
        await self._caller_server.stop(
            self._stop.calls_left_s() + LAST_ANSWERS_S
        )

    async def stop(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        decisions.log('stopping', in_progress=self._app.in_progress)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(
            self._caller_server.stop(),
            self._readiness_server.stop(),
            self._metrics_server.stop(),
        )
        self._endpoint.close()
        with contextlib.suppress(ValueError):
            # The start may have failed.
            decisions.observers.remove(metrics.count_unusable_input)

    def reconfigure(self, cfg: hostcfg.HostSettings) -> None:
        """See :class:`settings_watch.ReconfigurableDaemon`."""
        self._cfg = dataclasses.replace(
            self._cfg, bounds=cfg.bounds, store_address=cfg.store_address
        )
        self._client.set_address(cfg.store_address)
        self._freshness.adjust(
            cfg.bounds.revoke_s,
            cfg.bounds.is_revocation_strict,
            cfg.bounds.apply_s,
        )
        times = watch_times.from_bounds(cfg.bounds)
        of_manifest, of_targets, of_withdrawals = self._followers
        of_manifest.adjust(times.manifest_s)
        of_targets.adjust(times.targets_s, times.targets_batch_s)
        of_withdrawals.adjust(times.withdrawals_s)

    def _apply_manifest(
        self, update: follow.Update[model.Manifest | None]
    ) -> None:
        self._directory.apply_manifest(update)
        if self._directory.manifest is not None:
            self._demand.configure(self._directory.manifest)

    def _suspect_loss(self) -> None:
        """Let the longer watches check the store after the shortest failed."""
        for follower in self._followers[1:]:
            follower.suspect_loss()

    def _not_ready_reason(self) -> str | None:
        if self._stop.is_begun:
            return 'draining'
        if self._directory.manifest is None:
            return 'no configuration received yet'
        if not self._directory.known_targets():
            return 'no targets registered yet'
        if not self._freshness.may_accept_keys:
            return 'the configuration may be outdated'
        if any(follower.is_broken for follower in self._followers):
            return 'the store has data that cannot be followed'
        return None

    def _agent_ips(self) -> set[str]:
        services = self._directory.services()
        return {
            endpoint.ip_of(record.address)
            for record in self._directory.all_targets()
            if record.service in services
            and services[record.service].engine is not None
        }

    async def _subscribe(self) -> None:
        """Subscribe to the agents' load reports until cancelled."""
        while True:
            self._targets_added.clear()
            message = messages.Subscribe(
                node=self._cfg.node,
                reads_batches=True,
                demand=self._demand.packed(),
            )
            asking = copy.copy(message)
            asking.wants_entries = True
            ips = self._agent_ips()
            self._subscribed_ips = ips
            asked = frozenset(
                random.sample(sorted(ips), min(ASKED_AGENTS, len(ips)))
            )
            self._endpoint.send(message, ips - asked, self._port)
            self._endpoint.send(asking, asked, self._port)
            # Without known agents the message went to nobody. An entry gets
            # load reports only after its first subscription, so it tries again
            # sooner.
            period_s = (
                SUBSCRIBE_PERIOD_S
                if self._shares.has_list
                else INITIAL_SUBSCRIBE_PERIOD_S
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s):
                    await self._targets_added.wait()

    async def _repeat_holds(self) -> None:
        """Tell some entries of held prompts each second until cancelled.

        Datagrams get lost, also those to an entry that has just started.
        """
        while True:
            await asyncio.sleep(REPEAT_HOLDS_PERIOD_S)
            others = sorted(self._shares.others)
            some = random.sample(others, min(TOLD_ENTRIES, len(others)))
            self._holds.repeat(
                lambda message, ips=some: self._endpoint.send(
                    message, ips, self._port
                )
            )

    def _send_to_entries(self, message: object) -> None:
        self._endpoint.send(message, self._shares.others, self._port)

    def _on_entry_list(self, message: messages.EntryList, ip: str) -> None:
        try:
            self._demand.record_sum(message.demand)
        except ValueError as exc:
            decisions.log('demand_unreadable', ip=ip, reason=str(exc))
        before = self._shares.others
        self._shares.record_list(ip, endpoint.unpack_ips(message.ips))
        wanted = messages.PromptHoldsWanted(node=self._cfg.node)
        self._endpoint.send(wanted, self._shares.others - before, self._port)

    def _on_load_report(self, message: messages.LoadReport, ip: str) -> None:
        self._demand.count_entries(message.entries)
        row = load_rows.row_of(message)
        self._record_load(row, message.group, message.period_ms)

    def _on_load_batch(self, message: messages.LoadBatch, ip: str) -> None:
        try:
            rows = load_rows.unpack(message.rows)
        except ValueError as exc:
            decisions.log('load_unreadable', ip=ip, reason=str(exc))
            return
        for row in rows:
            self._record_load(row, message.group, message.period_ms)

    def _record_load(
        self, row: load_rows.LoadRow, group: str, period_ms: int
    ) -> None:
        record = self._directory.target_at(row.target)
        if record is not None:
            self._targets.record_report(
                record.name,
                row.running,
                row.waiting,
                row.is_open,
                group,
                row.pass_s,
                period_ms / 1000,
                row.age_s,
            )

    def _screen(self, call: routed_call.RoutedCall) -> None:
        """Raise Refusal for a call that no target may get."""
        self._stop.screen(call)
        self._holds.screen(call)

    def _check_before_sending(self, call: routed_call.RoutedCall) -> None:
        """Raise Refusal if the call must not be sent now."""
        self._stop.screen(call)
        if call.is_authenticated:
            self._freshness.require_fresh_for_keys()

    def _targets_changed(self) -> None:
        self._connections.keep_only(
            {item.incarnation for item in self._directory.all_targets()}
        )
        self._targets.forget_removed_targets()
        if self._agent_ips() - self._subscribed_ips:
            self._targets_added.set()

    def _cold_limit(
        self, service: model.Service, record: model.TargetRecord
    ) -> int:
        """Return this entry's part of a cold target's calls per second."""
        bounds = self._cfg.bounds
        allowed = (
            service.cold_requests_per_s * bounds.cold_factor
            + bounds.cold_slack
        )
        return self._shares.whole_part(allowed, record.address)

    def _new_budget(self) -> budget.RetryPolicy:
        bounds = self._cfg.bounds
        return budget.RETRY_POLICIES['window'](
            bounds.retry_ratio * shares.USED_SHARE,
            lambda: bounds.retry_slack * self._shares.fraction(),
            bounds.retry_window_s,
        )


def _rank(call: routed_call.RoutedCall) -> order.Rank | None:
    return call.rank if call.is_contested else None


def _retry_after_s(call: routed_call.RoutedCall) -> float:
    if call.is_contested:
        return outlook.retry_after_s(call.remaining_s(), random)
    return calls.random_retry_after_s(call)
