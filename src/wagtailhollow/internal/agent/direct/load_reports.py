"""Reports the load of targets to the entries that have subscribed.

Each entry has to know the load of each target. With many entries and targets,
one datagram from each agent to each entry would take most of the processor
time of both and most of the bytes between data centres. The ranks of a large
group therefore report to the collectors of its roster, and each of these sends
the load of its part of the group to the entries in one datagram. An agent
without a collector, as in the time until a coordinator is elected, reports to
the entries itself.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection

from ...datagram import demand_rows, endpoint, load_rows, messages

SUBSCRIPTION_S = 3.0
COUNT_DELAY_S = 1.1
"""Time after the start in which all entries have subscribed, which they do
once a second. Entries divide limits by the length of the list, so that a list
that is too short would make them exceed a limit together."""

REPORT_PERIOD_S = 0.15
MAX_REPORT_PERIOD_S = 0.5
REPORTS_PER_S = 100.0
"""Datagrams with load that an agent sends to entries a second; with more
entries the period grows up to the maximum, and parts of a group report
together. Each entry then sends fewer calls between reports. A group that
closes or opens is reported at once, by each rank."""

MAX_AGE_S = 3 * REPORT_PERIOD_S
"""Age from which a collector leaves out the report of another rank: two in a
row are lost."""


class LoadReporter:
    """Sends load to the entries, or to the collector of this rank's part."""

    def __init__(
        self,
        transmit: Callable[[object, Collection[str]], None],
        collector_ip: Callable[[], str],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a reporter.

        :param transmit: sends a message to processes at IP addresses.
        :param collector_ip: returns the address of the agent that collects
            the reports of this one, empty if there is none.
        """
        self._transmit = transmit
        self._collector_ip = collector_ip
        self._clock = clock
        self._started_s = clock()
        self._subscribed_until_s: dict[str, float] = {}
        self._demands: dict[str, bytes] = {}
        self._batch_readers: set[str] = set()
        self._collected: dict[str, tuple[float, messages.LoadReport]] = {}
        self._due_s = 0.0
        self._reported_open = True

    def on_subscribe(self, message: messages.Subscribe, ip: str) -> None:
        """Record the subscription of an entry, and answer if it asks to."""
        now_s = self._clock()
        self._subscribed_until_s[ip] = now_s + SUBSCRIPTION_S
        self._demands[ip] = message.demand
        if message.reads_batches:
            self._batch_readers.add(ip)
        else:
            self._batch_readers.discard(ip)
        if message.wants_entries and now_s - self._started_s >= COUNT_DELAY_S:
            answer = messages.EntryList(
                ips=endpoint.pack_ips(sorted(self._subscribed_until_s)),
                demand=demand_rows.total(
                    self._demands[entry] for entry in self._subscribed_until_s
                ),
            )
            self._transmit(answer, (ip,))

    def on_report(self, report: messages.LoadReport, ip: str) -> None:
        """Record the report of a rank that takes this one for a collector."""
        self._collected[report.target] = (self._clock(), report)

    def send(self, report: messages.LoadReport) -> None:
        """Send the load of this target, if it is due or the group changed.

        :param report: the load; the fields on entries are filled in here.
        """
        now_s = self._clock()
        is_changed = report.is_open != self._reported_open
        if now_s < self._due_s and not is_changed:
            return
        self._reported_open = report.is_open
        self._subscribed_until_s = {
            ip: until_s
            for ip, until_s in self._subscribed_until_s.items()
            if until_s > now_s
        }
        entries = self._subscribed_until_s.keys()
        self._batch_readers &= entries
        self._demands = {ip: self._demands[ip] for ip in entries}
        report.entries = len(entries)
        collected = self._recent_reports(report.group, now_s)
        period_s = self._period_s()
        single_readers = entries - self._batch_readers
        if is_changed or not self._is_batched():
            self._send_alone(report, entries, period_s)
        elif collected:
            self._send_batch(report, collected, now_s)
            self._send_alone(report, single_readers, period_s)
        elif collector := self._collector_ip():
            self._send_alone(report, {collector} | single_readers, period_s)
            period_s = REPORT_PERIOD_S
        else:
            self._send_alone(report, entries, period_s)
        # Keeps the mean period although the engine is polled less often.
        self._due_s = max(self._due_s + period_s, now_s)

    def _is_batched(self) -> bool:
        """Return whether the entries are too many for a report to each."""
        return self._period_s() > REPORT_PERIOD_S

    def _period_s(self) -> float:
        return min(
            MAX_REPORT_PERIOD_S,
            max(
                REPORT_PERIOD_S, len(self._subscribed_until_s) / REPORTS_PER_S
            ),
        )

    def _recent_reports(
        self, group: str, now_s: float
    ) -> list[tuple[float, messages.LoadReport]]:
        self._collected = {
            target: item
            for target, item in self._collected.items()
            if now_s - item[0] <= MAX_AGE_S and item[1].group == group
        }
        return list(self._collected.values())

    def _send_alone(
        self,
        report: messages.LoadReport,
        ips: Collection[str],
        period_s: float,
    ) -> None:
        report.period_ms = round(period_s * 1000)
        self._transmit(report, ips)

    def _send_batch(
        self,
        own: messages.LoadReport,
        collected: list[tuple[float, messages.LoadReport]],
        now_s: float,
    ) -> None:
        rows = [
            load_rows.row_of(item, now_s - received_s)
            for received_s, item in [(now_s, own), *collected]
        ]
        longest_s = self._period_s() + REPORT_PERIOD_S
        batch = messages.LoadBatch(
            group=own.group,
            period_ms=round(longest_s * 1000),
            rows=load_rows.pack(rows),
        )
        self._transmit(batch, self._batch_readers)
