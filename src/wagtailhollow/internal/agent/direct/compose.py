"""Composition root of the agent on the users' platform.

On this platform entries call targets directly, so the agent relays no calls.
It reports the load of the engine on its host and, together with the other
agents of the group, adapts the expert map to the demand.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Collection

from ...daemon import lifecycle
from ...datagram import endpoint, messages
from ...directory import changes, model
from ...experts import observation, paced, placement, planner
from ...experts.live import (
    coordinator,
    demand,
    group_view,
    messenger,
    pass_time,
    rank,
)
from ...experts.live import model as live
from ...hostcfg import model as hostcfg
from ...observability import decisions, lightweight_metrics
from ...platform import engine, manifest, store
from ...platform import targets as registrations
from . import load_reports

# The planner registers itself when imported.
_PLANNERS = (paced,)

LISTING_PERIOD_S = 5.0
FIRST_LISTING_PERIOD_S = 1.0
"""Period of listings until the size of the group and as many agents of the
service are known; :data:`LISTING_PERIOD_S` applies from then on, since peers
change rarely. All listings may be seconds old, for which the platform charges
a tenth of a call."""

REMOTE_TIMEOUT_S = 0.15
"""Time-out for the engines of other agents: that for the local engine plus a
round trip to another data centre."""

METRICS_PORT = 9464
"""Port of the metrics endpoint, as in deploy/system.toml."""

PLANNER = 'paced'


class DirectAgent:
    """The agent daemon: connects its components and runs them."""

    def __init__(self, cfg: hostcfg.HostSettings) -> None:
        self._cfg = cfg
        self._port = cfg.internal_ports[0]
        client = self._client = store.StoreClient(cfg.store_address)
        self._targets = store.ObjectSource(
            client, registrations.KIND, registrations.decode, allows_stale=True
        )
        self._manifests = store.ObjectSource(
            client, manifest.KIND, manifest.decode, allows_stale=True
        )
        self._engine = engine.EngineClient(cfg.target_address)
        self._rank_controller = rank.RankController(self._engine)
        self._demand = demand.RecentDemand()
        self._pass_time = pass_time.PassTimeEstimator()
        self._view = group_view.GroupView()
        self._endpoint = endpoint.Endpoint(messages.MESSAGE_TYPES)
        self._messenger = messenger.GroupMessenger(
            self._rank_controller,
            self._view,
            self._demand,
            self._transmit,
            lambda: self._data_centres,
            cfg.target_address,
            cfg.link_bytes_per_s,
        )
        self._load_reporter = load_reports.LoadReporter(
            self._transmit, self._messenger.collector_ip
        )
        handlers = {
            messages.RankStatus: self._messenger.on_status,
            messages.Intent: self._messenger.on_intent,
            messages.ExpertDemand: self._messenger.on_demand,
            messages.Roster: self._messenger.on_roster,
            messages.Subscribe: self._load_reporter.on_subscribe,
            messages.LoadReport: self._load_reporter.on_report,
        }
        for message_type, handler in handlers.items():
            self._endpoint.add_handler(message_type, handler)
        self._coordinator = coordinator.Coordinator(
            self._rank_controller,
            self._view,
            self._messenger,
            lambda address: engine.EngineClient(address, REMOTE_TIMEOUT_S),
            self,
            self._map_limits,
            self._messenger.demand_counts,
        )
        self._data_centres: dict[str, str] = {}
        self._service: model.Service | None = None
        self._gap_s = 0.0
        self._demand_read_s = 0.0
        self._metrics = lightweight_metrics.LightweightMetrics()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        await self._endpoint.open(self._cfg.ip, self._port)
        decisions.observers.append(self._metrics.observe)
        try:
            await self._metrics.serve(self._cfg.ip, METRICS_PORT)
        except OSError as exc:
            decisions.log('metrics_unavailable', reason=str(exc))
        self._tasks = [
            lifecycle.create_background_task(self._list_peers()),
            lifecycle.create_background_task(self._watch_engine()),
            lifecycle.create_background_task(self._messenger.run()),
            lifecycle.create_background_task(self._coordinator.run()),
        ]
        decisions.log('started', target=self._cfg.target_address)

    async def drain(self) -> None:
        """See :class:`lifecycle.Daemon`; there are no calls to wait for."""
        decisions.log('draining')

    async def stop(self) -> None:
        """See :class:`lifecycle.Daemon`."""
        for task in self._tasks:
            task.cancel()
        self._endpoint.close()
        self._metrics.close()
        self._engine.close()
        decisions.log('stopping')

    def reconfigure(self, cfg: hostcfg.HostSettings) -> None:
        """See :class:`settings_watch.ReconfigurableDaemon`."""
        self._client.set_address(cfg.store_address)

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> planner.Plan:
        """Plan within the service's limits; see :class:`planner.Planner`."""
        layout = self._service.engine.experts
        costs = planner.Costs(
            spare_slots=layout.spare,
            rank_budget=max(1, int(coordinator.COPY_TIME_S / layout.load_s)),
        )
        return planner.PLANNERS[PLANNER](costs).plan(current, observed, now_s)

    def _map_limits(self) -> coordinator.Limits | None:
        service = self._service
        if service is None or service.engine is None:
            return None
        experts = service.engine.experts
        if experts is None:
            return None
        return coordinator.Limits(experts.layers, experts.places, self._gap_s)

    def _transmit(self, message: object, ips: Collection[str]) -> None:
        self._endpoint.send(message, ips, self._port)

    async def _list_peers(self) -> None:
        while True:
            period_s = FIRST_LISTING_PERIOD_S
            try:
                listing = await self._targets.read()
                self._data_centres = {
                    endpoint.ip_of(record.address): record.data_centre
                    for record in listing.documents.values()
                    if record.service == self._cfg.target_service
                }
                if self._service is None:
                    await self._read_service()
                report = self._rank_controller.report
                if (
                    report is not None
                    and self._service is not None
                    and len(self._data_centres) >= report.size
                ):
                    period_s = LISTING_PERIOD_S
            except changes.SourceUnavailable as exc:
                decisions.log('store_lost', reason=str(exc))
            await asyncio.sleep(period_s)

    async def _read_service(self) -> None:
        found = await self._manifests.read()
        name = self._cfg.target_service
        for item in found.documents.values():
            self._service = item.services.get(name)
            self._gap_s = item.shortest_gap_s(name)

    async def _watch_engine(self) -> None:
        while True:
            try:
                await self._rank_controller.reconcile()
                self._record_pass_time()
                await self._read_demand()
                self._messenger.send_status()
                self._messenger.send_demand()
                self._send_load()
            except live.EngineUnavailable as exc:
                if self._rank_controller.report is not None:
                    decisions.log('engine_silent', reason=str(exc))
                self._rank_controller.report = None
            except (KeyError, TypeError, ValueError) as exc:
                decisions.log('engine_unreadable', reason=repr(exc))
                self._rank_controller.report = None
            await self._messenger.wait_for_poll()

    def _record_pass_time(self) -> None:
        report = self._rank_controller.report
        if report is not None:
            self._pass_time.add(
                time.monotonic(),
                report.epoch,
                report.step,
                report.running > 0,
            )

    async def _read_demand(self) -> None:
        report = self._rank_controller.report
        now_s = time.monotonic()
        period_s = self._messenger.demand_read_period_s()
        if report is None or now_s - self._demand_read_s < period_s:
            return
        self._demand_read_s = now_s
        counts = await self._engine.activation_counts()
        self._demand.add(now_s, report.start_time_ms, counts)

    def _send_load(self) -> None:
        report = self._rank_controller.report
        if report is None:
            return
        pass_s = self._pass_time.pass_s(time.monotonic())
        self._load_reporter.send(
            messages.LoadReport(
                target=self._cfg.target_address,
                running=report.running,
                waiting=report.waiting,
                is_open=report.is_open,
                step=report.step,
                memory_used=report.memory_used,
                group=report.group,
                pass_ms=round(pass_s * 1000),
            )
        )
