"""Targets that an entry reaches through agents."""

from __future__ import annotations

from collections.abc import Callable

from ..routing import load_view, policy
from ..table import queries
from ..wire.gen import ttypes
from . import attempt as attempt_module
from . import call as call_module


class AgentTargets:
    """Selects targets by the reports of their agents and by the table."""

    def __init__(
        self,
        view: load_view.LoadView,
        table_view: Callable[[], queries.TableView | None],
        is_connected: Callable[[str], bool],
    ) -> None:
        """Create a source.

        :param is_connected: whether there is a connection to the agent at an
            address.
        """
        self._load_view = view
        self._table_view = table_view
        self._is_connected = is_connected

    def unavailable_s(self, call: call_module.Call) -> float:
        """See :class:`calls.TargetSource`; agents state no time."""
        return 0.0

    def has_available_target(self, call: call_module.Call) -> bool:
        """See :class:`calls.TargetSource`.

        A target is available while its agent reports, even if it takes no new
        calls.
        """
        return any(
            report.load.service_name == call.service_name
            for report in self._load_view.fresh_reports()
        )

    def candidates(self, call: call_module.Call) -> list[policy.Candidate]:
        """See :class:`calls.TargetSource`."""
        table = self._table_view()
        return [
            candidate
            for report in self._load_view.fresh_reports()
            if report.load.service_name == call.service_name
            and report.load.state == ttypes.TargetState.IN_SERVICE
            and not report.draining
            and not table.is_withdrawn(
                report.agent.data_centre, report.load.target
            )
            and (candidate := self._candidate(call, report, table)).weight > 0
        ]

    def has_capacity(
        self, call: call_module.Call, candidate: policy.Candidate
    ) -> bool:
        """See :class:`calls.TargetSource`.

        Agents refuse calls beyond the caps of targets. While there is no
        connection to an agent, calls wait for it.
        """
        return self._is_connected(candidate.address)

    def preferred(
        self, call: call_module.Call, candidates: list[policy.Candidate]
    ) -> list[policy.Candidate]:
        """See :class:`calls.TargetSource`; agents decide on admission."""
        return candidates

    def attempt(
        self,
        call: call_module.Call,
        candidate: policy.Candidate,
        number: int,
        claim: ttypes.ClaimTicket | None,
    ) -> attempt_module.Attempt:
        """See :class:`calls.TargetSource`."""
        report = self._load_view.report(candidate.target)
        return attempt_module.Attempt(
            call,
            candidate,
            report.agent.incarnation if report else 0,
            self._table_view().version,
            number,
            claim,
        )

    def _candidate(
        self,
        call: call_module.Call,
        report: load_view.TargetReport,
        table: queries.TableView,
    ) -> policy.Candidate:
        load = report.load
        data_centre = report.agent.data_centre
        weights = call.service.data_centre_weights
        data_centre_weight = weights.get(
            data_centre, table.data_centre(data_centre).weight
        )
        return policy.Candidate(
            target=load.target,
            address=report.agent.address,
            data_centre=data_centre,
            outstanding=self._load_view.outstanding(load.target),
            reported_running=load.running,
            reported_queued=load.queued,
            sent_since_report=self._load_view.sent_since(report),
            cap=load.cap,
            weight=data_centre_weight * table.target(load.target).weight,
        )
