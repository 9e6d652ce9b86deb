"""Availability and load of the targets that an entry calls directly."""

from __future__ import annotations

import collections
import dataclasses
import math
import time
import types
from collections.abc import Callable, Mapping

from .... import errors
from ...directory import model, state
from ...observability import decisions
from ...routing import policy
from ..attempt import Attempt, AttemptFailed, Phase
from ..shortage import demand as demand_module
from ..shortage import pace, places, quota
from . import (
    caller_timeouts,
    cold_starts,
    quotas,
    reported_load,
    routed_call,
)

FAILURE_PAUSE_S = 1.0
"""How long a failed target is skipped while other targets are available."""

MAX_REPORT_AGE_S = 1.5
"""Age from which the contents of a load report are ignored, as they no longer
describe the queue."""

REPORT_OVERDUE_PERIODS = 4.0
MAX_REPORT_OVERDUE_S = 1.0
"""Age of the last load report, in periods of its agent and at most, from which
the target is used only if no other one is available."""

DEFAULT_REPORT_PERIOD_S = 0.15
"""Period of load reports of an agent that does not tell it."""

STALLED_PASS_S = 0.9
"""Pass time from which a group counts as stalled and gets no calls. A group
that is only slow gets calls: on engines that are 12 times slower than usual a
pass takes 0.7 s, and short streams still complete."""

LIST_AGE_S = 0.02
"""Age from which the list of available targets is made anew: a small part of
the periods of load reports and of waiting calls."""

MAX_COUNTED_STARTS = 32
"""Last calls to a target of which the time is kept, to tell those that a load
report does not include."""

REFUSAL_PAUSE_S = 0.25
"""How long a target gets no calls after it rejected one. Its agent reports
within 0.15 s whether its group is serving."""


class DirectTargets:
    """Tracks the availability and load of the registered targets."""

    def __init__(
        self,
        directory: state.Directory,
        cold_limit: cold_starts.Limit = lambda service, record: math.inf,
        clock: Callable[[], float] = time.monotonic,
        regions: Mapping[str, str] = types.MappingProxyType({}),
        demand: demand_module.Demand | None = None,
    ) -> None:
        """Create a view of the targets in *directory*.

        :param cold_limit: returns how many calls per second this entry may
            send to a cold target of a service.
        :param regions: region of each data centre.
        :param demand: rates of calls, to share places in a shortage.
        """
        self._directory = directory
        self._cold_starts = cold_starts.ColdStarts(
            directory, cold_limit, clock
        )
        self._regions = regions
        self._last_starts_s: dict[str, collections.deque[float]] = {}
        self._clock = clock
        self._quotas = quotas.Quotas(
            demand or demand_module.Demand(clock), self._room, clock
        )
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._reports: dict[str, reported_load.ReportedLoad] = {}
        self._failed_until_s: dict[str, float] = {}
        self._refusing_until_s: dict[str, float] = {}
        self._turned_away_until_s: dict[tuple[str, int], float] = {}
        self._group_by_target: dict[str, str] = {}
        self._replaced_incarnations: set[tuple[str, int]] = set()
        self._available_by_service: dict[
            str, tuple[float, list[model.TargetRecord]]
        ] = {}
        # Targets that leave and data centres that are withdrawn.
        directory.target_listeners.append(self._available_by_service.clear)

    def has_available_target(self, call: routed_call.RoutedCall) -> bool:
        """See :class:`calls.TargetSource`.

        A target is available unless it is known to reject calls.
        """
        return bool(self._available(call))

    def unavailable_s(self, call: routed_call.RoutedCall) -> float:
        """See :class:`calls.TargetSource`.

        The time is known if all targets have asked for no calls.
        """
        if not self._turned_away_until_s:
            return 0.0
        records = self._in_regions(
            call, self._directory.targets(call.service_name)
        )
        now_s = self._clock()
        return min(
            (
                max(
                    0.0,
                    self._turned_away_until_s.get(record.incarnation, now_s)
                    - now_s,
                )
                for record in records
            ),
            default=0.0,
        )

    def candidates(
        self, call: routed_call.RoutedCall
    ) -> list[policy.Candidate]:
        """See :class:`calls.TargetSource`.

        Targets that reject calls are excluded even if no other is left: the
        call then waits until one accepts calls again. Targets that failed or
        whose reports are overdue are excluded only while others are available.
        """
        now_s = self._clock()
        available = self._available(call)
        healthy = [
            record
            for record in available
            if self._failed_until_s.get(record.name, 0.0) <= now_s
            and not self.is_report_overdue(record)
        ]
        return [
            self._candidate(call, record) for record in healthy or available
        ]

    def has_capacity(
        self, call: routed_call.RoutedCall, candidate: policy.Candidate
    ) -> bool:
        """See :class:`calls.TargetSource`."""
        record = self._directory.ready(candidate.target)
        if record is None:
            return False
        limit = places.call_limit(
            record.slots,
            candidate.cap,
            call.is_late,
            not call.is_contested
            or self._pace(call, record.name) is pace.Pace.IN_TIME,
        )
        return (
            candidate.load * candidate.cap < limit
            and self._cold_starts.has_capacity(record)
        )

    def preferred(
        self,
        call: routed_call.RoutedCall,
        candidates: list[policy.Candidate],
    ) -> list[policy.Candidate]:
        """See :class:`calls.TargetSource`.

        A call yields to those that go before it, and to the pace at which it
        has to be answered.
        """
        if not candidates or not call.route.gap_s or not call.is_contested:
            return candidates
        suitable = pace.preferred(
            candidates,
            lambda item: self._pace(call, item.target),
            call.is_late,
            lambda: min(
                self._pace(call, record.name)
                for record in self._available(call)
            ),
        )
        if (
            suitable
            and self._pace(call, suitable[0].target) is pace.Pace.IN_TIME
            and not self._quotas.try_take(call)
        ):
            return []
        return suitable

    def _room(self, call: routed_call.RoutedCall) -> quota.Room | None:
        """Return what the targets can serve in time; None if it is unknown."""
        service = self._directory.services().get(call.service_name)
        found = [
            self._candidate(call, record)
            for record in self._available(call)
            if self._pace(call, record.name) is pace.Pace.IN_TIME
        ]
        reports = list(
            filter(None, (self._fresh_report(item.target) for item in found))
        )
        if not reports or service is None or service.engine is None:
            return None
        return quota.room(
            service.engine,
            sum(item.cap for item in found),
            sum(item.load * item.cap for item in found),
            [report.pass_s for report in reports if report.pass_s],
        )

    def _pace(self, call: routed_call.RoutedCall, name: str) -> pace.Pace:
        report = self._fresh_report(name)
        if report is None or not report.pass_s:
            return pace.Pace.IN_TIME
        return pace.pace_of(
            report.pass_s,
            call.route.gap_s,
            caller_timeouts.event_timeout_s(call.route),
            call.passes,
            call.remaining_s(),
        )

    def first_event_s(self, service: str, route: model.Route) -> float:
        """Return how long a stream takes to start at a free target."""
        if not route.gap_s:
            return 0.0
        reports = (
            self._fresh_report(record.name)
            for record in self._directory.targets(service)
        )
        fastest_s = min(
            (item.pass_s for item in reports if item and item.pass_s),
            default=0.0,
        )
        return pace.first_event_s(fastest_s, route.objective_s)

    def attempt(
        self,
        call: routed_call.RoutedCall,
        candidate: policy.Candidate,
        number: int,
        claim: None,
    ) -> Attempt:
        """See :class:`calls.TargetSource`.

        The attempt has no agent: its incarnation is 0 and not used, and its
        table version is the version of the manifest.
        """
        manifest = self._directory.manifest
        return Attempt(call, candidate, 0, manifest.version, number, claim)

    def current(self, name: str) -> model.TargetRecord | None:
        """Return the incarnation of the target *name* that takes calls.

        None if it is not ready, or asked for no calls and the time is not
        over.
        """
        record = self._directory.ready(name)
        return None if record and self._is_turned_away(record) else record

    def is_in_service(self, record: model.TargetRecord) -> bool:
        """Return whether a target is neither leaving nor gone."""
        return self._directory.ready(record.name) is not None

    def started(self, record: model.TargetRecord) -> None:
        """Count a call that is sent to a target."""
        self._outstanding[record.name] += 1
        self._last_starts_s.setdefault(
            record.name, collections.deque(maxlen=MAX_COUNTED_STARTS)
        ).append(self._clock())
        self._cold_starts.record(record)

    def finished(self, record: model.TargetRecord) -> None:
        """Stop counting a call that ended at a target."""
        self._outstanding[record.name] -= 1

    def failed(self, record: model.TargetRecord, exc: AttemptFailed) -> None:
        """Exclude a target temporarily after a failed attempt.

        An incarnation whose address another target has taken over is excluded
        for good; the logged pause does not apply to it.
        """
        self._available_by_service.clear()
        if exc.phase is Phase.REFUSED:
            pause_s = REFUSAL_PAUSE_S
            self._refusing_until_s[record.name] = self._clock() + pause_s
        else:
            pause_s = FAILURE_PAUSE_S
            self._failed_until_s[record.name] = self._clock() + pause_s
        if exc.refusal.kind is errors.ErrorKind.STALE_INCARNATION:
            self._replaced_incarnations.add(record.incarnation)
        decisions.log(
            'target_avoided',
            target=record.name,
            kind=exc.refusal.kind.value,
            reason=exc.refusal.message,
            pause_s=pause_s,
        )

    def mark_leaving(self, record: model.TargetRecord) -> None:
        """Exclude a target that has said that it is leaving."""
        self._directory.mark_leaving(record)

    def turned_away(self, record: model.TargetRecord, pause_s: float) -> None:
        """Send no calls to a target for the time that it asked for."""
        now_s = self._clock()
        until_s = now_s + pause_s
        self._turned_away_until_s = {
            incarnation: end_s
            for incarnation, end_s in self._turned_away_until_s.items()
            if end_s > now_s
        }
        if until_s > self._turned_away_until_s.get(record.incarnation, now_s):
            self._turned_away_until_s[record.incarnation] = until_s
        self._available_by_service.clear()
        decisions.log('target_busy', target=record.name, pause_s=pause_s)

    def _is_turned_away(self, record: model.TargetRecord) -> bool:
        until_s = self._turned_away_until_s.get(record.incarnation, 0.0)
        return until_s > self._clock()

    def pause_group(self, record: model.TargetRecord) -> None:
        """Exclude all targets of a group briefly because it is not serving."""
        group = self._group_by_target.get(record.name)
        names = [
            name
            for name, member_group in self._group_by_target.items()
            if group and member_group == group
        ]
        self._available_by_service.clear()
        until_s = self._clock() + REFUSAL_PAUSE_S
        self._refusing_until_s |= dict.fromkeys(names, until_s)
        decisions.log('group_closed', group=group, targets=len(names))

    def forget_removed_targets(self) -> None:
        """Drop the state of targets that are no longer registered."""
        records = self._directory.all_targets()
        names = {item.name for item in records}
        self._cold_starts.keep_only(names)
        self._replaced_incarnations &= {item.incarnation for item in records}
        for by_name in (
            self._failed_until_s,
            self._refusing_until_s,
            self._group_by_target,
            self._reports,
            self._last_starts_s,
        ):
            for name in by_name.keys() - names:
                del by_name[name]

    def record_load_header(
        self, record: model.TargetRecord, value: bytes
    ) -> None:
        """Record the load that a target reports in a response header."""
        parts = value.split(b',')
        if len(parts) == 3 and all(part.strip().isdigit() for part in parts):
            running, waiting, _ = (int(part) for part in parts)
            self.record_report(record.name, running, waiting)

    def record_report(
        self,
        name: str,
        running: int,
        waiting: int,
        is_open: bool = True,
        group: str = '',
        pass_s: float | None = None,
        period_s: float = 0.0,
        age_s: float = 0.0,
    ) -> None:
        """Record a load report that was received just now.

        :param is_open: whether the target's group is serving.
        :param group: name of that group, empty if not reported.
        :param pass_s: mean duration of its passes, None if not reported.
        :param period_s: period of the reports of its agent, 0 if not reported.
        :param age_s: age of the report; calls sent since count in addition.
        """
        made_s = self._clock() - age_s
        previous = self._reports.get(name)
        if age_s and previous is not None and previous.made_s > made_s:
            # The header of a response has told a later load.
            self._reports[name] = dataclasses.replace(
                previous, pass_s=pass_s or 0.0, period_s=period_s
            )
            return
        if pass_s is None:
            fresh = self._fresh_report(name)
            pass_s = fresh.pass_s if fresh else 0.0
            period_s = fresh.period_s if fresh else 0.0
        if group:
            self._group_by_target[name] = group
        if previous is None or previous.is_open != is_open:
            self._available_by_service.clear()
        self._reports[name] = reported_load.ReportedLoad(
            made_s,
            running,
            waiting,
            max(0, self._outstanding[name] - self._starts_since(name, made_s)),
            is_open,
            pass_s,
            period_s,
        )

    def _starts_since(self, name: str, since_s: float) -> int:
        return sum(
            start_s > since_s for start_s in self._last_starts_s.get(name, ())
        )

    def _accepts_calls(self, record: model.TargetRecord) -> bool:
        if (
            record.incarnation in self._replaced_incarnations
            or self._refusing_until_s.get(record.name, 0.0) > self._clock()
            or self._is_turned_away(record)
        ):
            return False
        report = self._fresh_report(record.name)
        return report is None or report.is_open

    def _available(
        self, call: routed_call.RoutedCall
    ) -> list[model.TargetRecord]:
        """Return the targets that are not known to reject the call.

        Calls that wait ask again and again; the list is made anew when a
        report or a failure changes it, and after LIST_AGE_S.
        """
        now_s = self._clock()
        made_s, records = self._available_by_service.get(
            call.service_name, (-math.inf, [])
        )
        if now_s - made_s > LIST_AGE_S:
            stalled = self._stalled_groups()
            records = [
                record
                for record in self._directory.targets(call.service_name)
                if self._accepts_calls(record)
                and self._group_by_target.get(record.name) not in stalled
            ]
            self._available_by_service[call.service_name] = (now_s, records)
        return self._in_regions(call, records)

    def _in_regions(
        self,
        call: routed_call.RoutedCall,
        records: list[model.TargetRecord],
    ) -> list[model.TargetRecord]:
        """Return the targets in regions that may serve the call."""
        if call.regions is None:
            return records
        # A data centre of an unknown region serves no call that is bound.
        return [
            record
            for record in records
            if self._regions.get(record.data_centre) in call.regions
        ]

    def _stalled_groups(self) -> set[str]:
        """Return the groups that are stalled.

        In these at least one rank reports a pass time of STALLED_PASS_S or
        more. A rank on a frozen host sends no reports, so its group's other
        ranks decide.
        """
        return {
            group
            for name, group in self._group_by_target.items()
            if (report := self._fresh_report(name)) is not None
            and report.pass_s >= STALLED_PASS_S
        }

    def is_report_overdue(self, record: model.TargetRecord) -> bool:
        """Return whether the load reports of a target have stopped.

        Either its agent died, which affects no call, or its host is frozen,
        and then no call is answered.
        """
        report = self._reports.get(record.name)
        if record.name not in self._group_by_target or report is None:
            return False
        overdue_s = min(
            MAX_REPORT_OVERDUE_S,
            REPORT_OVERDUE_PERIODS
            * (report.period_s or DEFAULT_REPORT_PERIOD_S),
        )
        return self._clock() - report.made_s > overdue_s

    def is_stalled(self, record: model.TargetRecord) -> bool:
        """Return whether the group of a target makes no passes."""
        group = self._group_by_target.get(record.name)
        return group is not None and group in self._stalled_groups()

    def pass_s(self, record: model.TargetRecord) -> float:
        """Return the pass time that an agent reports, 0 if not known."""
        report = self._fresh_report(record.name)
        return report.pass_s if report else 0.0

    def _fresh_report(self, name: str) -> reported_load.ReportedLoad | None:
        report = self._reports.get(name)
        if report is None or self._clock() - report.made_s > MAX_REPORT_AGE_S:
            return None
        return report

    def _candidate(
        self, call: routed_call.RoutedCall, record: model.TargetRecord
    ) -> policy.Candidate:
        """Return the candidate for a target that has no agent in between.

        Its address is the target's own, its cap is computed here, and
        ``sent_since_report`` counts the calls of this entry only.
        """
        own_calls = self._outstanding[record.name]
        report = self._fresh_report(record.name) or reported_load.ReportedLoad(
            0.0, 0, 0, 0, True
        )
        return policy.Candidate(
            target=record.name,
            address=record.address,
            data_centre=record.data_centre,
            outstanding=own_calls,
            reported_running=report.running,
            reported_queued=report.waiting,
            sent_since_report=max(
                own_calls - report.own_calls, -report.running
            ),
            cap=places.concurrency_limit(
                self._directory.services().get(record.service),
                record.slots,
                call.route.gap_s,
                report.running,
                report.pass_s,
            ),
        )
