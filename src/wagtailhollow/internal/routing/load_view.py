"""An entry's estimate of the load of its targets.

A load report includes the calls of all entries, but it is outdated when it is
used. The calls that this entry has sent since then are known. Each other entry
is assumed to have sent as many, since all get their calls from the same
balancer and use the same routing policy. Without this correction the
first-token time was four times as long with reports that are 0.5 s old, see
docs/measurements.md.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import time
from collections.abc import Callable, Iterable

from ..wire import auth
from ..wire.gen import ttypes

MAX_REPORT_AGE_S = 3.0
"""Age from which a report is not used, as three heartbeats were missed."""


@dataclasses.dataclass(frozen=True, slots=True)
class TargetReport:
    """The last load report of a target and the agent that sent it.

    :ivar sent_at_s: time by this entry's clock at which the agent sent the
        report; its load was already ``report_age_ms`` old.
    :ivar draining: whether the target accepts no new calls.
    """

    load: ttypes.TargetLoad
    agent: auth.Identity
    sent_at_s: float
    draining: bool


class LoadView:
    """The last report of each target and this entry's outstanding calls."""

    def __init__(
        self,
        clock: Callable[[], float] = time.monotonic,
        entry_count: Callable[[], int] = lambda: 1,
    ) -> None:
        """Create a view.

        :param entry_count: returns how many entries send calls to a target.
        """
        self._clock = clock
        self._entry_count = entry_count
        self._reports: dict[str, TargetReport] = {}
        self._outstanding: dict[str, _History] = collections.defaultdict(
            _History
        )
        self._serving: frozenset[str] | None = None

    def record_report(
        self,
        agent: auth.Identity,
        load: ttypes.TargetLoad,
        draining: bool,
        age_s: float = 0.0,
    ) -> None:
        """Store a report that was received now and sent *age_s* ago.

        Without *age_s* the report counts as sent when it was received.
        """
        self._reports[load.target] = TargetReport(
            load,
            agent,
            self._clock() - age_s,
            draining or not self._is_serving(agent.node),
        )

    def set_serving_agents(self, nodes: Iterable[str]) -> None:
        """Set the agents that are in the host list and are not leaving.

        Reports of all other agents count as draining.
        """
        self._serving = frozenset(nodes)
        self._reports = {
            target: report
            if self._is_serving(report.agent.node)
            else dataclasses.replace(report, draining=True)
            for target, report in self._reports.items()
        }

    def _is_serving(self, node: str) -> bool:
        return self._serving is None or node in self._serving

    def remove_agent(self, node: str) -> None:
        """Drop the reports of an agent whose connection was closed."""
        self._reports = {
            target: report
            for target, report in self._reports.items()
            if report.agent.node != node
        }

    def started(self, target: str) -> None:
        """Add an outstanding call at *target*."""
        self._outstanding[target].add(self._clock(), 1)

    def finished(self, target: str) -> None:
        """Remove an outstanding call at *target*."""
        self._outstanding[target].add(self._clock(), -1)

    def outstanding(self, target: str) -> int:
        """Return the number of this entry's calls that run at *target*."""
        return self._outstanding[target].count

    def sent_since(self, report: TargetReport) -> int:
        """Return the calls started minus those ended since *report*.

        The number is an estimate for all entries that share the target. It is
        negative if more calls ended than started.
        """
        history = self._outstanding[report.load.target]
        own = history.count - history.count_at(report.sent_at_s)
        return own * max(1, self._entry_count())

    def report(self, target: str) -> TargetReport | None:
        """Return the report of *target*, None if there is no recent one."""
        report = self._reports.get(target)
        return report if report and self._is_fresh(report) else None

    def fresh_reports(self) -> list[TargetReport]:
        """Return all reports that are recent enough to be used."""
        return [
            report
            for report in self._reports.values()
            if self._is_fresh(report)
        ]

    def _is_fresh(self, report: TargetReport) -> bool:
        age_s = self._clock() - report.sent_at_s
        return age_s + report.load.report_age_ms / 1000 <= MAX_REPORT_AGE_S


class _History:
    """Number of outstanding calls over the last few seconds."""

    def __init__(self) -> None:
        self.count = 0
        self._times_s: list[float] = []
        self._counts: list[int] = []

    def add(self, now_s: float, change: int) -> None:
        self.count += change
        self._times_s.append(now_s)
        self._counts.append(self.count)
        # Old items are removed in batches, since a removal at the head of a
        # list moves all items behind it.
        if len(self._times_s) > 64:
            keep = bisect.bisect_left(self._times_s, now_s - MAX_REPORT_AGE_S)
            keep = max(0, keep - 1)
            if keep > len(self._times_s) // 2:
                del self._times_s[:keep], self._counts[:keep]

    def count_at(self, at_s: float) -> int:
        index = bisect.bisect_right(self._times_s, at_s) - 1
        return self._counts[index] if index >= 0 else 0
