"""Handling of one call, from admission to the end of its answer."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

from ... import errors
from ..routing import load_view, policy
from ..table import queries
from ..wire.gen import ttypes
from . import attempts
from . import call as call_module

MAX_ATTEMPTS = 4
NO_TARGET_PAUSE_S = 0.05


class ClaimedCallHandler(Protocol):
    """Handles the calls that must run at most once."""

    async def handle(
        self,
        handler: CallHandler,
        call: call_module.Call,
        sink: call_module.AnswerSink,
    ) -> None:
        """Answer *call*; see :meth:`CallHandler.handle`."""


class CallHandler:
    """Chooses targets for a call and runs attempts until one answers."""

    def __init__(
        self,
        runner: attempts.AttemptRunner,
        view: load_view.LoadView,
        table_view: Callable[[], queries.TableView | None],
        claimed: ClaimedCallHandler,
    ) -> None:
        self._runner = runner
        self._view = view
        self._table_view = table_view
        self._claimed = claimed
        self._policies: dict[str, policy.RoutingPolicy] = {}

    async def handle(
        self, call: call_module.Call, sink: call_module.AnswerSink
    ) -> None:
        """Answer *call* through *sink*.

        :raises Refusal: if it could not be answered; when the sink is
            started already, the answer was cut.
        """
        if call.must_not_repeat:
            await self._claimed.handle(self, call, sink)
        else:
            await self._handle_repeatable(call, sink)

    async def _handle_repeatable(
        self, call: call_module.Call, sink: call_module.AnswerSink
    ) -> None:
        tried: set[str] = set()
        for number in itertools.count(1):
            candidate = await self.choose(call, tried)
            try:
                await self._runner.run(
                    self.attempt(call, candidate, number), sink
                )
                return
            except attempts.AttemptFailed as exc:
                tried.add(candidate.target)
                if (
                    exc.phase is attempts.Phase.ANSWERING
                    or number >= MAX_ATTEMPTS
                    or call.remaining_s() <= 0
                ):
                    raise exc.refusal from exc

    async def choose(
        self, call: call_module.Call, tried: set[str]
    ) -> policy.Candidate:
        """Return the target for the next attempt.

        :raises Refusal: NO_TARGET or OVERLOADED.
        """
        candidates = self.candidates(call)
        fresh = [item for item in candidates if item.target not in tried]
        if not fresh:
            kind = (
                errors.ErrorKind.OVERLOADED
                if candidates
                else errors.ErrorKind.NO_TARGET
            )
            raise errors.Refusal(
                kind,
                f'no target of {call.service_name} can take the call now',
                retry_after_s=1.0,
            )
        open_ones = [item for item in fresh if item.load < 1] or fresh
        await asyncio.sleep(0)
        return self._policy(call).choose(open_ones, call.prefix)

    def candidates(self, call: call_module.Call) -> list[policy.Candidate]:
        """Return the targets that may take the call, by what is known."""
        table = self._table_view()
        return [
            self._candidate(report)
            for report in self._view.fresh_reports()
            if report.load.service_name == call.service_name
            and report.load.state == ttypes.TargetState.IN_SERVICE
            and not report.draining
            and not table.is_withdrawn(
                report.agent.data_centre, report.load.target
            )
        ]

    def attempt(
        self,
        call: call_module.Call,
        candidate: policy.Candidate,
        number: int,
        claim: ttypes.ClaimTicket | None = None,
    ) -> attempts.Attempt:
        """Return the attempt of *call* at *candidate*."""
        report = self._view.report(candidate.target)
        return attempts.Attempt(
            call,
            candidate,
            report.agent.incarnation if report else 0,
            self._table_view().version,
            number,
            claim,
        )

    def _candidate(self, report: load_view.Report) -> policy.Candidate:
        load = report.load
        return policy.Candidate(
            target=load.target,
            address=report.agent.address,
            data_centre=report.agent.data_centre,
            outstanding=self._view.outstanding(load.target),
            reported_running=load.running,
            reported_queued=load.queued,
            cap=load.cap,
            report_age_s=self._view.age_s(report) + load.report_age_ms / 1000,
        )

    def _policy(self, call: call_module.Call) -> policy.RoutingPolicy:
        name = call.service.routing
        if name not in policy.POLICIES:
            name = 'power_of_two'
        if name not in self._policies:
            self._policies[name] = policy.POLICIES[name]()
        return self._policies[name]
