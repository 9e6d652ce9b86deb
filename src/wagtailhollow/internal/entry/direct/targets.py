"""The targets that an entry calls itself, and their load."""

from __future__ import annotations

import collections
import dataclasses
import math
import time
from collections.abc import Callable

from .... import errors
from ...directory import model, state
from ...observability import decisions
from ...routing import policy
from ..attempt import Attempt, AttemptFailed, Phase
from . import routed_call

AVOID_S = 1.0
"""How long a target that failed is avoided when others are there."""

MAX_REPORT_AGE_S = 1.5
"""Loads reported longer ago say nothing about a queue of the present."""

COLD_WINDOW_S = 1.0
"""Window of the bound on what a cold target gets."""

LATE_SHARE = 0.5
"""Load up to which a target takes calls that are late: half of the slots are
in use at the usual rate."""

GAP_SHARE = 0.9
"""Part of the longest pause of a stream that a pass may take; the rest is for
the way of the event to the caller."""

SHIFT_FACTOR = 2.0
"""Time of a pass over that with experts spread evenly, right after demand has
shifted: with a skew of 2.2 in the 85 in 100 of the work that experts do."""

MIN_CONCURRENCY_SHARE = 0.5
"""Slots of a target that are used however slow it is. Fewer would idle it
because of a measurement."""

REPORT_TIMEOUT_S = 0.6
"""Four periods of the agents' reports."""

STALLED_PASS_S = 0.9
"""Time without a pass after which a group gets no calls. With an engine that
is 12 times slower than usual a pass takes 0.7 s, and short streams end."""

REFUSAL_PAUSE_S = 0.25
"""How long a target that turned a call away gets none. Its agent reports
within 0.15 s whether its group serves."""

MAX_WAITING_SHARE = 0.5
"""Calls that may wait at a target, as a share of its slots. One slot in six
is free again after about 0.2 s; more would wait longer than the 0.5 s in
which the first token is due."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """A target's load when it was last heard.

    :ivar own: calls of this entry that ran there then.
    :ivar pass_s: mean time of a pass, 0 if not known.
    """

    made_s: float
    running: int
    waiting: int
    own: int
    is_open: bool
    pass_s: float = 0.0


class DirectTargets:
    """Targets by their registrations, with what is known of their load."""

    def __init__(
        self,
        directory: state.Directory,
        cold_limit: Callable[[model.Service], float] = lambda _: math.inf,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a view.

        :param cold_limit: returns the calls that this entry may send to a
            cold target of a service within a second.
        """
        self._directory = directory
        self._cold_limit = cold_limit
        self._sent: dict[str, collections.deque[float]] = {}
        self._clock = clock
        self._outstanding: collections.Counter[str] = collections.Counter()
        self._reports: dict[str, _Report] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._closed_until_s: dict[str, float] = {}
        self._groups: dict[str, str] = {}
        self._replaced: set[tuple[str, int]] = set()

    def is_connected(self, call: routed_call.RoutedCall) -> bool:
        """See :class:`calls.TargetSource`."""
        return bool(self._usable(call))

    def candidates(
        self, call: routed_call.RoutedCall
    ) -> list[policy.Candidate]:
        """See :class:`calls.TargetSource`.

        A target that turns calls away is left out even if there is no other:
        the call waits for one that can take it. One that failed is left out
        only while there are others.
        """
        now_s = self._clock()
        usable = self._usable(call)
        healthy = [
            record
            for record in usable
            if self._avoid_until_s.get(record.name, 0.0) <= now_s
            and not self.is_report_overdue(record)
        ]
        return [self._candidate(call, record) for record in healthy or usable]

    def has_capacity(
        self, call: routed_call.RoutedCall, candidate: policy.Candidate
    ) -> bool:
        """See :class:`calls.TargetSource`.

        A call that is late already leaves places for those that can still be
        answered in time: a batch that is full takes twice as long for each
        token, so a backlog makes all that come after it late, too.
        """
        record = self._directory.ready(candidate.target)
        if record is None:
            return False
        taken = candidate.load * candidate.cap
        if call.is_late:
            limit = LATE_SHARE * record.slots
        elif candidate.cap < record.slots:
            # The engine would begin a call that is to wait.
            limit = candidate.cap
        else:
            limit = (1 + MAX_WAITING_SHARE) * record.slots
        return taken < limit and self._bears_more(record)

    def attempt(
        self,
        call: routed_call.RoutedCall,
        candidate: policy.Candidate,
        number: int,
        claim: None,
    ) -> Attempt:
        """See :class:`calls.TargetSource`."""
        manifest = self._directory.manifest
        return Attempt(call, candidate, 0, manifest.version, number, claim)

    def current(self, name: str) -> model.TargetRecord | None:
        """Return the incarnation that takes calls under a name, or None."""
        return self._directory.ready(name)

    def started(self, record: model.TargetRecord) -> None:
        """Count a call at a target."""
        self._outstanding[record.name] += 1
        if self._directory.cold_left_s(record) > 0:
            sent = self._sent.setdefault(record.name, collections.deque())
            sent.append(self._clock())

    def finished(self, record: model.TargetRecord) -> None:
        """End the count of a call at a target."""
        self._outstanding[record.name] -= 1

    def failed(self, record: model.TargetRecord, exc: AttemptFailed) -> None:
        """Avoid a target for a while after it failed."""
        if exc.phase is Phase.REFUSED:
            pause_s = REFUSAL_PAUSE_S
            self._closed_until_s[record.name] = self._clock() + pause_s
        else:
            pause_s = AVOID_S
            self._avoid_until_s[record.name] = self._clock() + pause_s
        if exc.refusal.kind is errors.ErrorKind.STALE_INCARNATION:
            self._replaced.add(record.incarnation)
        decisions.log(
            'target_avoided',
            target=record.name,
            kind=exc.refusal.kind.value,
            reason=exc.refusal.message,
            pause_s=pause_s,
        )

    def pause_group(self, record: model.TargetRecord) -> None:
        """Close all targets of a group that does not serve for a moment."""
        group = self._groups.get(record.name)
        names = [
            name for name, of in self._groups.items() if group and of == group
        ]
        until_s = self._clock() + REFUSAL_PAUSE_S
        self._closed_until_s |= dict.fromkeys(names, until_s)
        decisions.log('group_closed', group=group, targets=len(names))

    def forget_removed_targets(self) -> None:
        """Forget the targets that are gone."""
        records = self._directory.all_targets()
        names = {item.name for item in records}
        self._replaced &= {item.incarnation for item in records}
        for known in (
            self._avoid_until_s,
            self._closed_until_s,
            self._groups,
            self._reports,
            self._sent,
        ):
            for name in known.keys() - names:
                del known[name]

    def record_load_header(
        self, record: model.TargetRecord, value: bytes
    ) -> None:
        """Take the load that a target put into an answer."""
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
    ) -> None:
        """Take a load report that was made now.

        :param is_open: whether the target's group serves.
        :param group: name of that group, empty if not told.
        :param pass_s: mean time of its passes, None if not told.
        """
        if pass_s is None:
            last = self._fresh_report_of(name)
            pass_s = last.pass_s if last else 0.0
        if group:
            self._groups[name] = group
        self._reports[name] = _Report(
            self._clock(),
            running,
            waiting,
            self._outstanding[name],
            is_open,
            pass_s,
        )

    def _bears_more(self, record: model.TargetRecord) -> bool:
        """Return whether a cold target bears one more call now."""
        service = self._directory.services().get(record.service)
        if (
            service is None
            or not service.cold_requests_per_s
            or self._directory.cold_left_s(record) <= 0
        ):
            self._sent.pop(record.name, None)
            return True
        sent = self._sent.get(record.name, ())
        oldest_s = self._clock() - COLD_WINDOW_S
        while sent and sent[0] < oldest_s:
            sent.popleft()
        return len(sent) + 1 <= max(1.0, self._cold_limit(service))

    def _is_open(self, record: model.TargetRecord) -> bool:
        if (
            record.incarnation in self._replaced
            or self._closed_until_s.get(record.name, 0.0) > self._clock()
        ):
            return False
        report = self._fresh_report_of(record.name)
        return report is None or report.is_open

    def _usable(
        self, call: routed_call.RoutedCall
    ) -> list[model.TargetRecord]:
        """Return the targets that are not known to turn the call away."""
        standing = self._standing_groups()
        return [
            record
            for record in self._directory.targets(call.service_name)
            if self._is_open(record)
            and self._groups.get(record.name) not in standing
        ]

    def _standing_groups(self) -> set[str]:
        """Return the groups that make no passes, by any of their ranks.

        A rank whose host is frozen reports nothing itself.
        """
        return {
            group
            for name, group in self._groups.items()
            if (report := self._fresh_report_of(name)) is not None
            and report.pass_s >= STALLED_PASS_S
        }

    def is_report_overdue(self, record: model.TargetRecord) -> bool:
        """Return whether the reports of a target have ended.

        Its agent may have died, which harms no call, or its host is frozen,
        and then no call is answered.
        """
        report = self._reports.get(record.name)
        return (
            record.name in self._groups
            and report is not None
            and self._clock() - report.made_s > REPORT_TIMEOUT_S
        )

    def _fresh_report_of(self, name: str) -> _Report | None:
        report = self._reports.get(name)
        if report is None or self._clock() - report.made_s > MAX_REPORT_AGE_S:
            return None
        return report

    def _places(
        self,
        call: routed_call.RoutedCall,
        record: model.TargetRecord,
        report: _Report,
    ) -> int:
        """Return how many streams a target can carry without long pauses.

        Its pass is compared with what its engine needs for as many writers;
        the rest of the difference comes from an expert map that fits badly
        and from weights that are copied.
        """
        service = self._directory.services().get(record.service)
        gap_s = call.route.gap_s
        if (
            service is None
            or service.engine is None
            or not gap_s
            or not report.pass_s
        ):
            return record.slots
        engine = service.engine
        usual_s = engine.pass_s(max(1, report.running))
        factor = max(SHIFT_FACTOR, report.pass_s / usual_s)
        bearable = engine.sequences_within(GAP_SHARE * gap_s / factor)
        least = math.ceil(record.slots * MIN_CONCURRENCY_SHARE)
        return min(record.slots, max(least, bearable))

    def _candidate(
        self, call: routed_call.RoutedCall, record: model.TargetRecord
    ) -> policy.Candidate:
        own = self._outstanding[record.name]
        report = self._fresh_report_of(record.name) or _Report(
            0.0, 0, 0, 0, True
        )
        return policy.Candidate(
            target=record.name,
            address=record.address,
            data_centre=record.data_centre,
            outstanding=own,
            reported_running=report.running,
            reported_queued=report.waiting,
            sent_since_report=max(own - report.own, -report.running),
            cap=self._places(call, record, report),
        )
