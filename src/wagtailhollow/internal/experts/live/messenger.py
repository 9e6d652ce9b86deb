"""Exchanges messages with the other agents of a group.

What a link carries is bounded whatever the size of the group: maps are paced
and relayed (``spreading.py``), demand is summed (``demand_relay.py``), each
status is sent when it changes, and periods grow with the number of receivers.
"""

from __future__ import annotations

import asyncio
import copy
import time
import zlib
from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Mapping,
)

from ...datagram import endpoint, messages
from ...observability import decisions
from . import (
    demand,
    demand_relay,
    group_view,
    model,
    packing,
    rank,
    roster,
    spreading,
)

POLL_PERIOD_S = 0.1
FAST_POLL_PERIOD_S = 0.02
"""Period of engine polls after an intent that differs from the one before, as
long as the engine is given orders. It is short because the coordinator waits
for the ranks during a change of the map."""

FAST_POLLS_S = 0.3
"""Longest time of these polls after an intent."""

PRESENCE_PERIOD_S = 0.25
"""Period of status messages to the standby ranks, or to the whole group while
there is no coordinator. An agent that is heard only by these counts as lost
after 0.7 s, that is, when two in a row are lost."""

DETAIL_PERIOD_S = 1.0
"""Period of statuses with the experts of the rank. They are sent to the
coordinator only, and also at once after a change of the epoch, the map or the
coordinator, and when it asks for the status."""

ROSTER_PERIOD_S = 0.5
"""Period of the coordinator's roster; several fit into the time after which a
rank that is not on standby may take over."""

LIFE_SIGN_PERIOD_S = 0.1
"""Period of the coordinator's intents: to the whole group in a change of the
map, otherwise to the standby ranks."""

RESEND_PERIOD_S = 0.05
"""Period of intents to ranks that have not complied."""

MAP_REPAIR_S = 0.2
"""Time after which a map is sent again to a rank whose status does not show
it: the way through a relay, the order to the engine, and the status."""

DEMAND_READ_SHARE = 0.5
"""Period of reading the engine's counters, as a share of that of demand
messages, so that a message is at most half a period old when it is sent."""

STATUS_BYTES = 120
INTENT_BYTES = 100
"""Size of these messages with headers, without experts or a map."""

IDLE_LINK_SHARE = 0.1
"""Share of a link that intents may take while the map does not change."""

SWITCH_LINK_SHARE = 0.5
"""Share of a link that repeated intents and the statuses that answer them may
take during a change."""


class GroupMessenger:
    """Sends and receives the messages of one agent within its group.

    :ivar poll_now: set when the engine is to be polled without delay.
    """

    def __init__(
        self,
        controller: rank.RankController,
        view: group_view.GroupView,
        recent_demand: demand.RecentDemand,
        transmit: Callable[[object, Collection[str]], None],
        peers: Callable[[], Mapping[str, str]],
        address: str,
        link_bytes_per_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a messenger.

        :param transmit: sends a message to agents at IP addresses.
        :param peers: returns the data centres of all agents of the service,
            by IP address.
        :param address: address of this agent's engine.
        :param link_bytes_per_s: bandwidth of this host's link.
        """
        self._controller = controller
        self._view = view
        self._demand = recent_demand
        self._transmit = transmit
        self._peers = peers
        self._address = address
        self._ip = endpoint.ip_of(address)
        self._bytes_per_s = link_bytes_per_s
        self._clock = clock
        self._sender = spreading.PacedSender(transmit, link_bytes_per_s)
        self._relay = demand_relay.DemandRelay(clock)
        self.poll_now = asyncio.Event()
        self._fast_polls_until_s = 0.0
        self._step_needed_until_s = 0.0
        self._sent_key: tuple | None = None
        self._sent_s = 0.0
        # Agents that start together would otherwise send at the same time.
        self._phase = zlib.crc32(address.encode()) / (1 << 32)
        self._presence_sent_s = clock() - self._phase * PRESENCE_PERIOD_S
        self._detail_key: tuple | None = None
        self._detail_due_s = 0.0
        self._is_status_wanted = False
        self._demand_sent_s = 0.0
        self._life_sign_s = 0.0
        self._standby_sign_s = 0.0
        self._roster_sent_s = 0.0
        self._announced: tuple[int, int] | None = None
        self._map_key: tuple[int, int] | None = None
        self._map_sent_s: dict[str, float] = {}
        self._forwarded_key = (0, 0)

    async def run(self) -> None:
        """Send queued maps; for ever."""
        await self._sender.run()

    # Polls of the engine.

    async def wait_for_poll(self) -> None:
        """Wait until the engine is to be polled again.

        What arrived during the last poll is not lost: it ends the wait.
        """
        now_s = self._clock()
        is_fast = now_s < self._step_needed_until_s or (
            now_s < self._fast_polls_until_s and self._controller.gave_order
        )
        try:
            async with asyncio.timeout(
                FAST_POLL_PERIOD_S if is_fast else POLL_PERIOD_S
            ):
                await self.poll_now.wait()
        except TimeoutError:
            return
        finally:
            self.poll_now.clear()

    def _poll_faster(self) -> None:
        self._fast_polls_until_s = self._clock() + FAST_POLLS_S
        self.poll_now.set()

    # Received messages.

    def on_status(self, status: messages.RankStatus, ip: str) -> None:
        """Record the status of another rank of the group."""
        report = self._controller.report
        if report is not None and status.group == report.group:
            self._view.record_status(status)

    def on_intent(self, intent: messages.Intent, ip: str) -> None:
        """Forward and obey an intent."""
        if intent.forward_to:
            self._forward(intent)
        report = self._controller.report
        if report is None or intent.group != report.group:
            return
        self._view.record_intent(intent)
        if intent.wants_status:
            self._is_status_wanted = True
            self.poll_now.set()
        if self._controller.accept(intent):
            self._poll_faster()

    def on_roster(self, message: messages.Roster, ip: str) -> None:
        """Record the coordinator's roster."""
        report = self._controller.report
        if report is None or (message.group, message.epoch) != (
            report.group,
            report.epoch,
        ):
            return
        try:
            self._view.record_roster(roster.decode(message))
        except ValueError as exc:
            decisions.log('roster_unreadable', ip=ip, reason=str(exc))

    def on_demand(self, message: messages.ExpertDemand, ip: str) -> None:
        """Record the demand of another rank or of a part of the group."""
        self._relay.record(message)

    def _forward(self, intent: messages.Intent) -> None:
        key = (intent.term, intent.serial)
        if key < self._forwarded_key:
            return
        if key > self._forwarded_key:
            self._sender.clear()
        self._forwarded_key = key
        ips = endpoint.unpack_ips(intent.forward_to)
        intent.forward_to = b''
        for ip in ips:
            self._sender.put(intent, _size(intent), ip)

    # Intents of this agent as coordinator.

    def publish(
        self, intent: messages.Intent, lagging: Collection[str]
    ) -> None:
        """See :class:`coordinator.IntentPublisher`."""
        self._obey(intent)
        now_s = self._clock()
        is_idle = intent.phase == model.Phase.IDLE
        key = (intent.term, intent.serial)
        self._send_roster(intent, now_s)
        is_due = now_s - self._life_sign_s >= self._life_sign_period_s(is_idle)
        brief = without_map(intent)
        ips = _ips(lagging) - {self._ip}
        if is_due or key != self._announced:
            self._announced = key
            self._life_sign_s = self._standby_sign_s = now_s
            self._transmit(brief, self._group_ips() - ips)
        elif now_s - self._standby_sign_s >= LIFE_SIGN_PERIOD_S:
            # A standby rank that has missed the end of a switch takes over
            # sooner than the period of the whole group allows.
            self._standby_sign_s = now_s
            self._transmit(brief, self._presence_ips() - ips)
        if ips:
            brief.wants_status = True
            self._transmit(brief, ips)

    def offer_map(
        self,
        intent: messages.Intent,
        moves_only: messages.Intent | None,
        knowing: Collection[str],
        others: Collection[str],
    ) -> None:
        """See :class:`coordinator.IntentPublisher`."""
        self._obey(intent)
        key = (intent.term, intent.serial)
        is_first = key != self._map_key
        if is_first:
            self._map_key = self._announced = key
            self._map_sent_s = {}
            self._sender.clear()
        for message, addresses in ((moves_only, knowing), (intent, others)):
            due = self._due_for_map(addresses)
            if due:
                self._send_map(message, due, is_first)

    def resend_period_s(self, receivers: int) -> float:
        """See :class:`coordinator.IntentPublisher`."""
        return self._period_s(
            RESEND_PERIOD_S,
            receivers * (INTENT_BYTES + STATUS_BYTES),
            SWITCH_LINK_SHARE,
        )

    def _send_roster(self, intent: messages.Intent, now_s: float) -> None:
        report = self._controller.report
        if report is None or now_s - self._roster_sent_s < ROSTER_PERIOD_S:
            return
        self._roster_sent_s = now_s
        addresses = self._view.addresses | {report.rank: self._address}
        status = self._controller.status()
        live = self._view.recent_statuses(status).keys() & addresses.keys()
        ips = {n: endpoint.ip_of(item) for n, item in addresses.items()}
        by_data_centre = self._by_data_centre(ips)
        standbys = roster.choose_standbys(by_data_centre, live)
        collectors = roster.choose_collectors(
            by_data_centre,
            demand_relay.part_size(
                report.size, self._demand_bytes(), self._bytes_per_s
            ),
            live,
            report.rank,
        )
        message = roster.encode(
            intent,
            {number: ips[number] for number in standbys},
            {number: ips[number] for number in collectors},
            self._address,
        )
        self._view.record_roster(roster.decode(message))
        self._transmit(message, self._group_ips())

    def _obey(self, intent: messages.Intent) -> None:
        self._view.record_intent(intent)
        is_change = self._controller.accept(intent)
        if intent.phase != model.Phase.IDLE:
            # The coordinator needs the step that its own rank has reached.
            self._step_needed_until_s = self._clock() + FAST_POLLS_S
            if is_change:
                self.poll_now.set()

    def _life_sign_period_s(self, is_idle: bool) -> float:
        if not is_idle:
            return LIFE_SIGN_PERIOD_S
        return self._period_s(
            LIFE_SIGN_PERIOD_S,
            len(self._view.addresses) * INTENT_BYTES,
            IDLE_LINK_SHARE,
        )

    def _period_s(self, least_s: float, size: int, share: float) -> float:
        """Return the period in which *size* bytes fit a share of the link."""
        return max(least_s, size / (share * self._bytes_per_s))

    def _due_for_map(self, addresses: Iterable[str]) -> list[str]:
        """Return the agents that a map is sent to now, neighbours together.

        Agents that may still be receiving it are left out.
        """
        oldest_s = self._clock() - MAP_REPAIR_S
        peers = self._peers()
        return sorted(
            (
                ip
                for ip in _ips(addresses) - {self._ip}
                if self._map_sent_s.get(ip, -1.0) <= oldest_s
            ),
            key=lambda ip: (peers.get(ip, ''), ip),
        )

    def _send_map(
        self, message: messages.Intent, ips: list[str], is_first: bool
    ) -> None:
        size = _size(message)
        groups = (
            spreading.relay_groups(ips, size, self._bytes_per_s)
            if is_first
            else [(ip, ()) for ip in ips]
        )
        for relay, receivers in groups:
            part = copy.copy(message)
            part.forward_to = endpoint.pack_ips(receivers)
            part.wants_status = not is_first
            self._sender.put(part, size + len(part.forward_to), relay)
        # A relay takes at most as long for its receivers.
        longest = max(len(receivers) for _, receivers in groups)
        arrival_s = (
            self._clock()
            + self._sender.backlog_s()
            + self._sender.transfer_s(longest * size)
        )
        self._map_sent_s |= dict.fromkeys(ips, arrival_s)

    # Statuses and demand of this rank.

    def send_status(self) -> None:
        """Send the status to the agents that have to know it now."""
        status = self._controller.status()
        if status is None:
            return
        now_s = self._clock()
        status.address = self._address
        self._view.record_status(status)
        coordinator_ip = self._view.coordinator_ip(status)
        brief = copy.copy(status)
        brief.experts = b''
        informed = set()
        if coordinator_ip and coordinator_ip != self._ip:
            message = self._status_for_coordinator(
                status, brief, coordinator_ip, now_s
            )
            if message is not None:
                informed.add(coordinator_ip)
                self._transmit(message, informed)
        if now_s - self._presence_sent_s >= PRESENCE_PERIOD_S:
            self._presence_sent_s = now_s
            # All ranks may report to the coordinator in the same moment.
            self._transmit(brief, self._presence_ips() - informed)

    def _status_for_coordinator(
        self,
        status: messages.RankStatus,
        brief: messages.RankStatus,
        coordinator_ip: str,
        now_s: float,
    ) -> messages.RankStatus | None:
        """Return the status that the coordinator has to get now, or None.

        :param brief: the status without its experts.
        """
        detail_key = (
            status.epoch,
            status.map_version,
            bool(status.experts),
            coordinator_ip,
        )
        has_details = (
            self._is_status_wanted
            or detail_key != self._detail_key
            or now_s >= self._detail_due_s
        )
        sent_key = (detail_key, *_progress(status))
        if has_details:
            self._detail_key = detail_key
            self._detail_due_s = now_s + DETAIL_PERIOD_S
        elif (
            sent_key == self._sent_key
            and now_s - self._sent_s < self._status_period_s(status.size)
        ):
            return None
        self._sent_key, self._sent_s = sent_key, now_s
        self._is_status_wanted = False
        return status if has_details else brief

    def send_demand(self) -> None:
        """Send the demand of this rank, or of its part, when it is due."""
        report = self._controller.report
        duties = self._view.recent_roster()
        if (
            report is None
            or not self._demand.size
            or duties is None
            or not duties.collectors
        ):
            return
        now_s = self._clock()
        period_s = self._demand_period_s(report.size)
        since_s = now_s - self._demand_sent_s
        if since_s > 2 * period_s:
            # A roster lets all ranks begin at the same time.
            self._demand_sent_s = now_s - self._phase * period_s
            return
        if since_s < period_s:
            return
        status = self._controller.status()
        own = messages.ExpertDemand(
            group=status.group,
            epoch=status.epoch,
            rank=status.rank,
            counts=packing.pack_counts(self._demand.counts()),
        )
        self._demand_sent_s = now_s
        coordinator = self._view.coordinator_rank(status)
        collector_ip = self.collector_ip()
        if collector_ip:
            self._transmit(own, (collector_ip,))
        total = self._relay.part_sum(
            own, not collector_ip, demand_relay.MAX_AGE_PERIODS * period_s
        )
        if total is None:
            return
        if coordinator == status.rank:
            self._relay.record(total)
            return
        address = self._view.addresses.get(coordinator)
        if address:
            self._transmit(total, (endpoint.ip_of(address),))

    def collector_ip(self) -> str:
        """Return the address of the agent that collects for this one.

        Empty if there is none, or this rank is a collector itself.
        """
        report = self._controller.report
        duties = self._view.recent_roster()
        if (
            report is None
            or duties is None
            or not duties.collectors
            or report.rank in duties.collectors
        ):
            return ''
        return self._nearest(report.rank, duties.collectors)

    def _nearest(self, own_rank: int, collectors: Mapping[int, str]) -> str:
        """Return a collector's address, of the own data centre if possible."""
        peers = self._peers()
        own = peers.get(self._ip)
        ips = sorted(collectors.values())
        near = [ip for ip in ips if peers.get(ip) == own] or ips
        return near[own_rank % len(near)]

    def demand_counts(self) -> list[float]:
        """Return the demand of the whole group as far as it has arrived."""
        report = self._controller.report
        if report is None or not self._demand.size:
            return []
        return self._relay.total(
            report.group,
            report.epoch,
            demand_relay.MAX_AGE_PERIODS * self._demand_period_s(report.size),
        )

    def demand_read_period_s(self) -> float:
        """Return how often the counters of the engine have to be read."""
        report = self._controller.report
        if report is None or not self._demand.size:
            return DEMAND_READ_SHARE * demand_relay.LEAST_PERIOD_S
        return DEMAND_READ_SHARE * self._demand_period_s(report.size)

    def _demand_bytes(self) -> int:
        return self._demand.size + demand_relay.OVERHEAD_BYTES

    def _demand_period_s(self, ranks: int) -> float:
        return demand_relay.period_s(
            ranks, self._demand_bytes(), self._bytes_per_s
        )

    def _by_data_centre(self, ips: Mapping[int, str]) -> list[list[int]]:
        """Return the ranks of each data centre, in ascending order.

        :param ips: IP addresses by rank.
        """
        peers = self._peers()
        found: dict[str, list[int]] = {}
        for number in sorted(ips):
            found.setdefault(peers.get(ips[number], ''), []).append(number)
        return [found[name] for name in sorted(found)]

    def _presence_ips(self) -> set[str]:
        """Return the addresses of the agents that have to know this one."""
        duties = self._view.recent_roster()
        is_small = len(self._view.addresses) <= roster.SMALL_GROUP_SIZE
        if duties is None or is_small:
            return self._group_ips()
        return set(duties.standbys.values()) - {self._ip}

    def _status_period_s(self, size: int) -> float:
        return self._period_s(
            POLL_PERIOD_S, size * STATUS_BYTES, IDLE_LINK_SHARE
        )

    def _group_ips(self) -> set[str]:
        """Return the addresses of the other agents of the group.

        As long as some of them are unknown, the agents of the whole service
        are included.
        """
        report = self._controller.report
        known = self._view.ips() - {self._ip}
        if report is not None and len(known) + 1 >= report.size:
            return known
        return (known | self._peers().keys()) - {self._ip}


def without_map(intent: messages.Intent) -> messages.Intent:
    """Return a copy of an intent that leaves out its map."""
    brief = copy.copy(intent)
    brief.full_map = brief.moves = b''
    brief.base_version = messages.UNSET
    return brief


def _progress(status: messages.RankStatus) -> tuple:
    """Return what a coordinator waits for in a status."""
    return (
        status.term,
        status.is_open,
        status.prepared,
        status.armed_version,
        status.armed_step,
        status.held_step,
        status.ordered_version,
        status.refused_version,
        status.knows_map,
    )


def _ips(addresses: Iterable[str]) -> set[str]:
    return set(map(endpoint.ip_of, addresses))


def _size(intent: messages.Intent) -> int:
    return INTENT_BYTES + len(intent.full_map) + len(intent.moves)
