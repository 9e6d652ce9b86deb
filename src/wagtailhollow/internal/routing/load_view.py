"""What an entry knows of the load of its targets."""

from __future__ import annotations

import collections
import dataclasses
import time
from collections.abc import Iterable

from ..wire import auth
from ..wire.gen import ttypes

MAX_REPORT_AGE_S = 3.0
"""Reports older than this are not used: three heartbeats were missed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The last load report of one target, with where its agent is."""

    load: ttypes.TargetLoad
    agent: auth.Identity
    received_at_s: float
    draining: bool


class LoadView:
    """Last reports by target, and this entry's own outstanding calls."""

    def __init__(self, clock=time.monotonic) -> None:
        self._clock = clock
        self._reports: dict[str, Report] = {}
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._serving: frozenset[str] | None = None

    def take(
        self, agent: auth.Identity, load: ttypes.TargetLoad, draining: bool
    ) -> None:
        """Store a report that arrived now."""
        self._reports[load.target] = Report(
            load,
            agent,
            self._clock(),
            draining or not self._is_serving(agent.node),
        )

    def set_serving(self, nodes: Iterable[str]) -> None:
        """Take the agents that the host list names and that do not leave.

        Reports of all others count as draining.
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

    def forget(self, node: str) -> None:
        """Drop the reports of an agent whose connection ended."""
        self._reports = {
            target: report
            for target, report in self._reports.items()
            if report.agent.node != node
        }

    def started(self, target: str) -> None:
        """Count a call as outstanding at *target*."""
        self._outstanding[target] += 1

    def finished(self, target: str) -> None:
        """End the count of one outstanding call at *target*."""
        self._outstanding[target] -= 1

    def outstanding(self, target: str) -> int:
        """Return this entry's calls that run at *target*."""
        return self._outstanding[target]

    def report(self, target: str) -> Report | None:
        """Return the usable report of *target*, or None."""
        report = self._reports.get(target)
        return report if report and self._is_fresh(report) else None

    def fresh_reports(self) -> list[Report]:
        """Return all reports that are recent enough to be used."""
        return [
            report
            for report in self._reports.values()
            if self._is_fresh(report)
        ]

    def age_s(self, report: Report) -> float:
        """Return the age of *report* in seconds."""
        return self._clock() - report.received_at_s

    def _is_fresh(self, report: Report) -> bool:
        return self.age_s(report) <= MAX_REPORT_AGE_S
