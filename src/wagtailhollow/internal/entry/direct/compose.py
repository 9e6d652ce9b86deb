"""Composition root of the entry on the users' platform."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import time

from starlette import routing

from ...daemon import http, lifecycle
from ...datagram import endpoint, messages
from ...directory import follow, model, state
from ...hostcfg import model as hostcfg
from ...http1 import pool
from ...observability import decisions
from ...platform import manifest, store
from ...platform import targets as registrations
from ...retries import budget
from ...routing import power_of_two
from .. import calls, http_protocol
from . import app, attempts, freshness, routed_call, targets

_POLICIES = (power_of_two,)

MANIFEST_WAIT_S = 1.5
"""A watch that returns proves the manifest's age, which has to stay well
under the 5 s after which withdrawn keys must not be served."""

OTHER_WAIT_S = 2.5
"""A watch that went silent is noticed after this and the call's time-out."""

TARGETS_BATCH_S = 0.25
"""Targets come and go in numbers; calls must stop 2 s after one leaves."""

METRICS_PORT = 9464
"""Port of the metrics, named in deploy/system.toml; the usual one of
Prometheus exporters of applications."""

SUBSCRIBE_PERIOD_S = 1.0
"""Agents forget an entry after 3 s."""

FIRST_SUBSCRIBE_PERIOD_S = 0.1
"""The same until targets and services were read from the store."""

COLD_SHARE = 0.8
"""Part of a cold target's bound that is used; see BUDGET_SHARE."""

ENTRIES_MEMORY_S = 10.0
"""Window of the retry budget: an entry that has gone may have used its share
within it."""

MAX_CONNECTIONS = 900
"""Of 1,535 descriptors 200 are kept for files; the rest goes to targets."""

ROTATION_S = 2.5
"""The balancer takes an entry out after two checks, a second apart; callers
on open connections leave with the answer to their next request."""

STOP_MARGIN_S = 0.5
"""Part of the time to SIGKILL kept for the end of the process."""

MAX_WAIT_S = 3.0
"""Longest wait of one call for a target: a group that lost a rank serves
again after 2 to 3 s."""

MAX_WAIT_SHARE = 0.35
"""Callers come back after up to a third of the time that they have left."""

MAX_REJECTIONS = 6
"""Targets that may turn one call away before it is refused; each rejection
draws on the retry budget."""

UNKNOWN_ENTRIES = 16
"""Entries that share a budget while their number is not known: more than a
deployment of today's size has."""

BUDGET_SHARE = 0.8
"""Part of the retry budget that is used: entries may see different numbers
of each other, and a restarted one forgets what it spent."""


class DirectEntry:
    """The entry daemon; wires its parts and runs them."""

    def __init__(self, cfg: hostcfg.HostSettings) -> None:
        self._cfg = cfg
        client = self._client = store.StoreClient(cfg.store_address)
        self._directory = state.Directory()
        self._followers = (
            follow.Follower(
                'manifest',
                store.ObjectSource(client, manifest.KIND, manifest.decode),
                self._directory.apply_manifest,
                MANIFEST_WAIT_S,
            ),
            follow.Follower(
                'targets',
                store.ObjectSource(
                    client, registrations.KIND, registrations.decode
                ),
                self._directory.apply_targets,
                OTHER_WAIT_S,
                TARGETS_BATCH_S,
            ),
            follow.Follower(
                'withdrawals',
                store.ObjectSource(
                    client,
                    manifest.WITHDRAWALS_KIND,
                    manifest.decode_withdrawal,
                ),
                self._directory.apply_withdrawals,
                OTHER_WAIT_S,
            ),
        )
        self._fresh = freshness.Freshness(
            self._followers[0].age_s,
            cfg.bounds.revoke_s,
            cfg.bounds.is_revocation_strict,
        )
        self._connections = pool.ConnectionPool()
        self._directory.target_listeners.append(self._targets_changed)
        self._targets = targets.DirectTargets(
            self._directory, self._cold_limit
        )
        handler = calls.CallHandler(
            attempts.HttpAttemptRunner(
                self._connections, self._targets, self._check
            ),
            self._targets,
            None,
            MAX_WAIT_S,
            calls.RetryRules(
                max_rejections=MAX_REJECTIONS,
                rejections_use_budget=True,
                max_wait_share=MAX_WAIT_SHARE,
                new_budget=self._new_budget,
            ),
        )
        self._app = app.RoutedApp(self._directory, self._fresh, handler)
        limits = http_protocol.ConnectionLimits(
            max_connections=MAX_CONNECTIONS, body_timeout_s=15.0
        )
        self._callers = http.HttpServer(
            [routing.Mount('/', self._app)],
            cfg.callers_address,
            protocol=http_protocol.bounded_protocol(limits, self._app),
            graceful_timeout_s=max(
                0.0, cfg.bounds.grace_s - ROTATION_S - STOP_MARGIN_S
            ),
        )
        self._operators = http.HttpServer(
            http.operator_routes(self._not_ready_reason),
            cfg.readiness_address,
        )
        self._metrics = http.HttpServer(
            http.operator_routes(self._not_ready_reason),
            f'{cfg.ip}:{METRICS_PORT}',
        )
        self._new_targets = asyncio.Event()
        self._subscribed: set[str] = set()
        self._entries = 0
        self._entries_heard: dict[str, tuple[float, int]] = {}
        self._port = cfg.internal_ports[0]
        self._endpoint = endpoint.Endpoint(messages.ALL)
        self._endpoint.on(messages.LoadReport, self._heard_load)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        self._tasks = [
            lifecycle.background(follower.run())
            for follower in self._followers
        ]
        await self._endpoint.open(self._cfg.ip, self._port)
        self._tasks.append(lifecycle.background(self._subscribe()))
        await self._operators.start()
        try:
            await self._metrics.start()
        except OSError as exc:
            # Calls are served without metrics, too.
            decisions.log('metrics_unavailable', reason=str(exc))
        await self._callers.start()
        decisions.log('started', address=self._cfg.callers_address)

    async def drain(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        self._app.draining = True
        decisions.log('draining', in_progress=self._app.in_progress)
        await asyncio.sleep(ROTATION_S)
        # Requests that still arrive would never let the work end: from here
        # on only what was begun is finished.
        await self._callers.stop()

    async def stop(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        decisions.log('stopping', in_progress=self._app.in_progress)
        for task in self._tasks:
            task.cancel()
        await self._callers.stop()
        await self._operators.stop()
        await self._metrics.stop()
        self._endpoint.close()

    def adjust(self, cfg: hostcfg.HostSettings) -> None:
        """See :class:`settings_watch.Adjustable`."""
        self._cfg = dataclasses.replace(
            self._cfg, bounds=cfg.bounds, store_address=cfg.store_address
        )
        self._client.move(cfg.store_address)
        self._fresh.adjust(
            cfg.bounds.revoke_s, cfg.bounds.is_revocation_strict
        )

    def _not_ready_reason(self) -> str | None:
        if self._app.draining:
            return 'draining'
        if self._directory.manifest is None:
            return 'no configuration yet'
        if not self._directory.all_targets():
            return 'no targets yet'
        if not self._fresh.may_accept_keys:
            return 'the configuration may be outdated'
        return None

    def _agent_ips(self) -> set[str]:
        services = self._directory.services()
        return {
            record.address.rpartition(':')[0]
            for record in self._directory.all_targets()
            if record.service in services
            and services[record.service].engine is not None
        }

    async def _subscribe(self) -> None:
        """Ask the agents for load reports, for ever."""
        message = messages.Subscribe(node=self._cfg.node)
        while True:
            self._new_targets.clear()
            ips = self._agent_ips()
            self._subscribed = ips
            self._endpoint.send(message, ips, self._port)
            # An entry that just started hears of no group until then.
            period_s = SUBSCRIBE_PERIOD_S if ips else FIRST_SUBSCRIBE_PERIOD_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(period_s):
                    await self._new_targets.wait()

    def _heard_load(self, message: messages.LoadReport, ip: str) -> None:
        # Agents that cannot hear some of the entries name too few.
        self._entries_heard[ip] = (time.monotonic(), message.entries)
        oldest_s = time.monotonic() - ENTRIES_MEMORY_S
        self._entries = max(
            count
            for heard_s, count in self._entries_heard.values()
            if heard_s >= oldest_s
        )
        for record in self._directory.all_targets():
            if record.address == message.target:
                self._targets.record_report(
                    record.name,
                    message.running,
                    message.waiting,
                    message.is_open,
                    message.group,
                    message.pass_ms / 1000,
                )

    def _check(self, call: routed_call.RoutedCall) -> None:
        """Raise Refusal if the call must not reach a target any more."""
        if call.has_key:
            self._fresh.require_fresh_for_keys()

    def _targets_changed(self) -> None:
        self._connections.keep_only(
            {item.incarnation for item in self._directory.all_targets()}
        )
        self._targets.forget_removed_targets()
        if self._agent_ips() - self._subscribed:
            self._new_targets.set()

    def _cold_limit(self, service: model.Service) -> float:
        """Return this entry's part of what a cold target bears in 1 s."""
        bounds = self._cfg.bounds
        allowed = (
            service.cold_requests_per_s * bounds.cold_factor
            + bounds.cold_slack
        )
        return allowed * COLD_SHARE / self._entry_count()

    def _new_budget(self) -> budget.RetryPolicy:
        bounds = self._cfg.bounds
        return budget.RETRY_POLICIES['window'](
            bounds.retry_ratio * BUDGET_SHARE,
            lambda: bounds.retry_slack * BUDGET_SHARE / self._entry_count(),
            bounds.retry_window_s,
        )

    def _entry_count(self) -> int:
        """Return how many entries share the bounds of the deployment."""
        return self._entries or UNKNOWN_ENTRIES
