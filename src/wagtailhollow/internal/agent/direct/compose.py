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
from ...experts.live import coordinator, demand, packing, pass_time, rank
from ...experts.live import model as live
from ...hostcfg import model as hostcfg
from ...observability import decisions, lightweight_metrics
from ...platform import engine, manifest, store
from ...platform import targets as registrations

# The planner registers itself when imported.
_PLANNERS = (paced,)

POLL_PERIOD_S = 0.1
FAST_POLL_PERIOD_S = 0.02
"""Period of engine polls and status messages for 0.3 s after each intent
that is published here or differs from the one before. It is short because the
coordinator waits for the ranks during a change of the map."""

DEMAND_PERIOD_S = 0.12
LISTING_PERIOD_S = 5.0
FIRST_LISTING_PERIOD_S = 1.0
"""Period of listings until the size of the group and as many agents of the
service are known; :data:`LISTING_PERIOD_S` applies from then on, since peers
change rarely. All listings may be seconds old, for which the platform charges
a tenth of a call."""

PRESENCE_PERIOD_S = 0.25
"""Period of status messages to the whole group, without details. An agent that
is heard only by these counts as lost after 0.7 s, that is, when two in a row
are lost."""

DETAIL_PERIOD_S = 0.2
DETAIL_GROUP_SIZE = 8
"""Group size up to which each rank sends the details, its experts and its
demand, once per :data:`DETAIL_PERIOD_S`. The period grows with larger groups:
32 ranks that send 1.6 KB each would fill half of a 4 Mbit/s link. Only the
coordinator gets the details, and also at once after a change of the epoch, the
map or the coordinator; after all other polls it gets a status without them."""

SUBSCRIPTION_S = 3.0
REPORT_PERIOD_S = 0.15
REMOTE_TIMEOUT_S = 0.15
"""Time-out for the engines of other agents: that for the local engine plus a
round trip to another data centre."""

METRICS_PORT = 9464
"""Port of the metrics endpoint, as in deploy/system.toml."""

PLANNER = 'paced'
NEW_EXPERTS_PER_RANK = 4
"""Limit on the experts that one plan loads onto a rank; loading this many
takes 0.6 s."""


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
        self._view = coordinator.GroupView()
        self._endpoint = endpoint.Endpoint(messages.MESSAGE_TYPES)
        self._endpoint.add_handler(messages.RankStatus, self._on_rank_status)
        self._endpoint.add_handler(messages.Intent, self._on_intent)
        self._endpoint.add_handler(messages.Subscribe, self._on_subscribe)
        self._coordinator = coordinator.Coordinator(
            self._rank_controller,
            self._view,
            self,
            lambda address: engine.EngineClient(address, REMOTE_TIMEOUT_S),
            self,
            self._expert_layout,
        )
        self._records: dict[str, model.TargetRecord] = {}
        self._service: model.Service | None = None
        self._entry_expiry_s: dict[str, float] = {}
        self._poll_now = asyncio.Event()
        self._fast_polls_until_s = 0.0
        self._demand_read_s = 0.0
        self._load_sent_s = 0.0
        self._presence_sent_s = 0.0
        self._detail_key: tuple[int, int, str] | None = None
        self._detail_due_s = 0.0
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

    def publish(
        self, intent: messages.Intent, addresses: Collection[str]
    ) -> None:
        """See :class:`coordinator.IntentPublisher`."""
        self._rank_controller.accept(intent)
        self._view.record_intent(intent)
        ips = {item.rpartition(':')[0] for item in addresses}
        to = ips - {self._cfg.ip} if addresses else self._group_ips()
        self._endpoint.send(intent, to, self._port)
        self._poll_faster()

    def plan(
        self,
        current: placement.Placement,
        observed: observation.Observation,
        now_s: float,
    ) -> planner.Plan:
        """Plan within the service's limits; see :class:`planner.Planner`."""
        layout = self._service.engine.experts
        costs = planner.Costs(
            spare_slots=layout.spare, rank_budget=NEW_EXPERTS_PER_RANK
        )
        return planner.PLANNERS[PLANNER](costs).plan(current, observed, now_s)

    def _expert_layout(self) -> tuple[int, int] | None:
        service = self._service
        if service is None or service.engine is None:
            return None
        experts = service.engine.experts
        return (experts.layers, experts.places) if experts else None

    def _peer_ips(self) -> set[str]:
        """Return the addresses of the other agents of the service."""
        ips = {
            record.address.rpartition(':')[0]
            for record in self._records.values()
            if record.service == self._cfg.target_service
        }
        return ips - {self._cfg.ip}

    def _group_ips(self) -> set[str]:
        """Return the addresses of the other agents of the group.

        As long as some of them are unknown, the agents of the whole service
        are included.
        """
        report = self._rank_controller.report
        known = self._view.ips() - {self._cfg.ip}
        if report is not None and len(known) + 1 >= report.size:
            return known
        return self._peer_ips() | known

    def _poll_faster(self) -> None:
        self._fast_polls_until_s = time.monotonic() + 0.3
        self._poll_now.set()

    def _on_rank_status(self, status: messages.RankStatus, ip: str) -> None:
        report = self._rank_controller.report
        if report is not None and status.group == report.group:
            self._view.record_status(status)

    def _on_intent(self, intent: messages.Intent, ip: str) -> None:
        report = self._rank_controller.report
        if report is None or intent.group != report.group:
            return
        self._view.record_intent(intent)
        if self._rank_controller.accept(intent):
            self._poll_faster()

    def _on_subscribe(self, message: messages.Subscribe, ip: str) -> None:
        self._entry_expiry_s[ip] = time.monotonic() + SUBSCRIPTION_S

    async def _list_peers(self) -> None:
        while True:
            period_s = FIRST_LISTING_PERIOD_S
            try:
                listing = await self._targets.read()
                self._records = dict(listing.documents)
                if self._service is None:
                    found = await self._manifests.read()
                    for item in found.documents.values():
                        self._service = item.services.get(
                            self._cfg.target_service
                        )
                report = self._rank_controller.report
                if (
                    report is not None
                    and self._service is not None
                    and len(self._peer_ips()) + 1 >= report.size
                ):
                    period_s = LISTING_PERIOD_S
            except changes.SourceUnavailable as exc:
                decisions.log('store_lost', reason=str(exc))
            await asyncio.sleep(period_s)

    async def _watch_engine(self) -> None:
        while True:
            try:
                await self._rank_controller.reconcile()
                self._record_pass_time()
                await self._read_demand()
                self._send_status()
                self._send_load()
            except live.EngineUnavailable as exc:
                if self._rank_controller.report is not None:
                    decisions.log('engine_silent', reason=str(exc))
                self._rank_controller.report = None
            except (KeyError, TypeError, ValueError) as exc:
                decisions.log('engine_unreadable', reason=repr(exc))
                self._rank_controller.report = None
            is_fast = time.monotonic() < self._fast_polls_until_s
            self._poll_now.clear()
            try:
                async with asyncio.timeout(
                    FAST_POLL_PERIOD_S if is_fast else POLL_PERIOD_S
                ):
                    await self._poll_now.wait()
            except TimeoutError:
                continue

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
        if report is None or now_s - self._demand_read_s < DEMAND_PERIOD_S:
            return
        self._demand_read_s = now_s
        counts = await self._engine.activation_counts()
        self._demand.add(now_s, report.start_time_ms, counts)

    def _send_status(self) -> None:
        status = self._rank_controller.status()
        if status is None:
            return
        status.address = self._cfg.target_address
        experts, status.experts = status.experts, b''
        now_s = time.monotonic()
        if now_s - self._presence_sent_s >= PRESENCE_PERIOD_S:
            self._presence_sent_s = now_s
            self._endpoint.send(status, self._group_ips(), self._port)
        coordinator_ip = self._view.coordinator_ip(status)
        key = (status.epoch, status.map_version, coordinator_ip)
        if key != self._detail_key or now_s >= self._detail_due_s:
            self._detail_key = key
            self._detail_due_s = now_s + DETAIL_PERIOD_S * max(
                1.0, status.size / DETAIL_GROUP_SIZE
            )
            status.experts = experts
            status.demand = packing.pack_counts(self._demand.counts())
        if coordinator_ip and coordinator_ip != self._cfg.ip:
            self._endpoint.send(status, (coordinator_ip,), self._port)
        self._view.record_status(status)

    def _send_load(self) -> None:
        report = self._rank_controller.report
        now_s = time.monotonic()
        if report is None or now_s - self._load_sent_s < REPORT_PERIOD_S:
            return
        self._load_sent_s = now_s
        self._entry_expiry_s = {
            ip: until_s
            for ip, until_s in self._entry_expiry_s.items()
            if until_s > now_s
        }
        message = messages.LoadReport(
            target=self._cfg.target_address,
            running=report.running,
            waiting=report.waiting,
            entries=len(self._entry_expiry_s),
            is_open=report.is_open,
            step=report.step,
            memory_used=report.memory_used,
            group=report.group,
            pass_ms=round(self._pass_time.pass_s(now_s) * 1000),
        )
        self._endpoint.send(message, self._entry_expiry_s, self._port)
