"""At-most-once execution of calls, based on claims in the platform.

A call is claimed, dispatched and settled; a repeated request with the same
key gets the recorded answer. ``proof/at_most_once.py`` specifies the protocol
and names, for each action, the function that implements it: here, in the
agent's ledger or in the claim store.
"""

from __future__ import annotations

import asyncio
import dataclasses
import time
from collections.abc import Mapping

from absl import logging

from ... import errors
from ..claims import claims
from ..observability import metrics
from ..routing import load_view, policy
from ..store import api
from ..streams import sink as sink_module
from ..wire import connection, pool
from ..wire.gen import ttypes
from . import attempts, calls
from . import call as call_module

MAX_ATTEMPTS = 4
QUERY_TIMEOUT_S = 2.0
MAX_UNANSWERED_QUERIES = 5
"""Unanswered queries after which an agent is not asked again."""

QUERY_INTERVAL_S = 0.3
UNKNOWN_OUTCOME_AGE_S = 600.0
"""Age from which a claim has an unknown outcome if its agent does not answer.

The agent's own record of the call has expired by then.
"""


class ClaimedCalls:
    """Handles the calls that must run at most once."""

    def __init__(
        self,
        store: claims.ClaimStore,
        runner: attempts.AttemptRunner,
        peers: pool.PeerPool,
        view: load_view.LoadView,
    ) -> None:
        self._claims = store
        self._runner = runner
        self._resolver = OutcomeResolver(peers)
        self._load_view = view

    async def handle(
        self,
        handler: calls.CallHandler,
        call: call_module.Call,
        sink: sink_module.AnswerSink,
    ) -> None:
        """Answer *call*, or refuse it as not run or as possibly run.

        :raises Refusal: see :meth:`calls.CallHandler.handle`.
        """
        claimed_call = _ClaimedCall(
            self._claims,
            self._runner,
            self._resolver,
            self._load_view,
            handler,
            call,
        )
        await claimed_call.answer(sink)


class OutcomeResolver:
    """Obtains the outcomes of claimed calls from agents.

    A query also cancels a call that the agent has not started, so that it
    never starts later.
    """

    def __init__(self, peers: pool.PeerPool) -> None:
        self._peers = peers

    async def resolve(
        self, claim: claims.Claim, deadline_s: float
    ) -> ttypes.CallOutcome:
        """Query the agent until the outcome is known or the deadline passes.

        The state of the returned outcome is IN_PROGRESS if it is not known.

        :param deadline_s: monotonic time.
        """
        unanswered = 0
        while True:
            outcome = await self.cancel_or_get_outcome(claim)
            if outcome is None:
                unanswered += 1
            elif outcome.state != ttypes.OutcomeState.IN_PROGRESS:
                return outcome
            is_late = time.monotonic() >= deadline_s
            if is_late or unanswered >= MAX_UNANSWERED_QUERIES:
                return ttypes.CallOutcome(ttypes.OutcomeState.IN_PROGRESS)
            await asyncio.sleep(QUERY_INTERVAL_S)

    async def cancel_or_get_outcome(
        self, claim: claims.Claim
    ) -> ttypes.CallOutcome | None:
        """Cancel the call if the agent has not started it; return its outcome.

        The agent is queried once; the result is None if it does not answer.
        Opens a new connection, because the pooled one may be the connection
        whose loss or silence caused the query.
        """
        message = ttypes.CancelIfNotStarted(
            claim.ticket(), claim.target, claim.incarnation
        )
        try:
            conn = await self._peers.open_additional(claim.address)
        except (OSError, EOFError, TimeoutError, errors.Refusal) as exc:
            logging.info(
                'no connection to the agent of %s to query an outcome: %r',
                claim.target,
                exc,
            )
            return None
        try:
            outcome = await conn.request(message, QUERY_TIMEOUT_S)
        except (
            connection.ConnectionLost,
            TimeoutError,
            errors.Refusal,
        ) as exc:
            # A refusal of the query does not tell whether the call ran.
            logging.info(
                'agent of %s returned no call outcome: %r',
                claim.target,
                exc,
            )
            return None
        finally:
            conn.close('query ended')
        return outcome if isinstance(outcome, ttypes.CallOutcome) else None


class _ClaimedCall:
    """One request with a key, from reading its claim to settling it."""

    def __init__(
        self,
        store: claims.ClaimStore,
        runner: attempts.AttemptRunner,
        resolver: OutcomeResolver,
        view: load_view.LoadView,
        handler: calls.CallHandler,
        call: call_module.Call,
    ) -> None:
        self._claims = store
        self._runner = runner
        self._resolver = resolver
        self._load_view = view
        self._handler = handler
        self._call = call
        self._key = call.idempotency_key or claims.key_of_unkeyed_call(
            call.call_id
        )
        self._fingerprint = claims.fingerprint(
            call.service_name, call.method, call.path, call.body
        )
        self._tried_targets: set[str] = set()
        self._own_claim_not_run: claims.Claim | None = None

    async def answer(self, sink: sink_module.AnswerSink) -> None:
        """Answer the call through *sink*.

        :raises Refusal: if it is not answered with a result.
        """
        try:
            for number in range(1, MAX_ATTEMPTS + 1):
                previous = (
                    self._own_claim_not_run
                    or await self._find_replaceable(sink)
                )
                if previous is _ANSWERED:
                    return
                if await self._claim_and_run(previous, number, sink):
                    return
        except api.PlatformUnavailable as exc:
            # When this is raised, no dispatch can have run: each needs a
            # written claim, and failures after a dispatch do not raise this.
            raise errors.Refusal(
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'cannot claim calls while the platform is unavailable',
                retry_after_s=2.0,
            ) from exc
        finally:
            if self._own_claim_not_run is not None:
                await self._record_outcome(self._own_claim_not_run, 'not_run')
        raise errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            'no target accepted the call',
            retry_after_s=1.0,
        )

    async def _find_replaceable(
        self, sink: sink_module.AnswerSink
    ) -> claims.Claim | _Answered | None:
        """Return the claim that a new one replaces, or replay the answer.

        :raises Refusal: if an earlier request with the key is in progress,
            may have run, or differs from this one.
        """
        self._call.execution.is_idempotency_key_free = False
        existing = await self._claims.find(self._call.organisation, self._key)
        if existing is None or existing.is_expired():
            self._call.execution.is_idempotency_key_free = True
            return existing
        if existing.fingerprint != self._fingerprint:
            raise errors.Refusal(
                errors.ErrorKind.KEY_REUSED,
                'the idempotency key was used for another request',
            )
        if existing.state == 'claimed':
            existing = await self._refresh_earlier_claim(existing)
        if existing.state == 'not_run':
            self._call.execution.is_idempotency_key_free = True
            return existing
        await self._replay(existing, sink)
        return _ANSWERED

    async def _refresh_earlier_claim(
        self, existing: claims.Claim
    ) -> claims.Claim:
        """Return another request's claim with the state its agent reports.

        Without an outcome from the agent the claim is returned unchanged, but
        as unknown if it is old. An outcome is recorded unless it is "not run".
        """
        outcome = await self._resolver.cancel_or_get_outcome(existing)
        if outcome is None and existing.age_s() > UNKNOWN_OUTCOME_AGE_S:
            return dataclasses.replace(existing, state='unknown')
        if outcome is None or outcome.state not in _STATES:
            return existing
        state = _STATES[outcome.state]
        answer = _recorded_answer(outcome) if state == 'done' else None
        if state != 'not_run':
            await self._record_outcome(existing, state, answer)
        return dataclasses.replace(existing, state=state, answer=answer)

    async def _replay(
        self, existing: claims.Claim, sink: sink_module.AnswerSink
    ) -> None:
        self._count_outcome(existing.state)
        if existing.state == 'done' and existing.answer is not None:
            await _send_recorded(sink, existing.answer)
            return
        if existing.state == 'claimed':
            raise errors.Refusal(
                errors.ErrorKind.IN_PROGRESS,
                'the outcome of an earlier call with this key is not known',
                retry_after_s=1.0,
            )
        raise _outcome_unknown(
            'an earlier call with this key ran; its answer was not recorded'
            if existing.state == 'done'
            else 'an earlier call with this key may have run'
        )

    async def _claim_and_run(
        self,
        previous: claims.Claim | None,
        number: int,
        sink: sink_module.AnswerSink,
    ) -> bool:
        """Claim and dispatch once; return False if the call may be retried."""
        candidate = await self._handler.choose(self._call, self._tried_targets)
        self._tried_targets.add(candidate.target)
        claim = self._new_claim(candidate)
        self._own_claim_not_run = None
        try:
            claim = await self._claims.acquire(claim, previous)
        except api.Conflict:
            self._call.execution.is_idempotency_key_free = False
            return False
        if await self._run(claim, candidate, number, sink):
            return True
        self._own_claim_not_run = claim
        return False

    def _new_claim(self, candidate: policy.Candidate) -> claims.Claim:
        report = self._load_view.report(candidate.target)
        if report is None:
            raise errors.Refusal(
                errors.ErrorKind.NO_TARGET,
                'the report of the chosen target was lost',
            )
        return claims.new_claim(
            self._call.organisation,
            self._key,
            self._fingerprint,
            candidate.target,
            report.agent.incarnation,
            report.agent.address,
            report.load.agent_clock_ms,
        )

    async def _run(
        self,
        claim: claims.Claim,
        candidate: policy.Candidate,
        number: int,
        sink: sink_module.AnswerSink,
    ) -> bool:
        """Dispatch once; return False if the call provably did not run."""
        recorder = RecordingSink(sink)
        # Incarnation and address are taken from the claim: the agent may have
        # restarted since, and only the incarnation in the claim can prove the
        # outcome of the call.
        attempt = dataclasses.replace(
            self._handler.attempt(
                self._call, candidate, number, claim.ticket()
            ),
            candidate=dataclasses.replace(candidate, address=claim.address),
            incarnation=claim.incarnation,
        )
        try:
            await self._runner.run(attempt, recorder)
        except attempts.AttemptFailed as exc:
            if exc.phase is attempts.Phase.REFUSED:
                return False
            outcome = await self._resolver.resolve(
                claim, self._call.deadline_s
            )
            return await self._settle_own(claim, outcome, exc, recorder)
        self._count_outcome('done')
        await self._record_outcome(claim, 'done', recorder.recorded())
        return True

    async def _settle_own(
        self,
        claim: claims.Claim,
        outcome: ttypes.CallOutcome,
        exc: attempts.AttemptFailed,
        recorder: RecordingSink,
    ) -> bool:
        if outcome.state == ttypes.OutcomeState.NOT_RUN:
            self._call.execution.may_have_run = False
            return False
        if outcome.state == ttypes.OutcomeState.DONE:
            answer = _recorded_answer(outcome)
            await self._record_outcome(claim, 'done', answer)
            if answer is not None:
                self._count_outcome('done')
                await recorder.complete(answer)
                return True
        if outcome.state == ttypes.OutcomeState.UNKNOWN:
            await self._record_outcome(claim, 'unknown')
        self._count_outcome('unknown')
        raise _outcome_unknown(f'the call may have run: {exc.refusal.message}')

    async def _record_outcome(
        self,
        claim: claims.Claim,
        state: str,
        answer: claims.RecordedAnswer | None = None,
    ) -> None:
        """Write the outcome; a failure is logged only.

        Without a recorded outcome, a later request with the key queries the
        agent.
        """
        try:
            await self._claims.record_outcome(claim, state, answer)
        except (api.PlatformUnavailable, api.Conflict) as exc:
            logging.warning('outcome of a call not recorded: %r', exc)

    def _count_outcome(self, state: str) -> None:
        metrics.claim_outcomes.labels(self._call.service_name, state).inc()


class RecordingSink:
    """Forwards an answer and keeps a copy to record with the claim."""

    def __init__(self, sink: sink_module.AnswerSink) -> None:
        self._sink = sink
        self._status = 0
        self._headers: Mapping[str, str] = {}
        self._body: bytearray | None = bytearray()
        self._sent_bytes = 0

    @property
    def is_started(self) -> bool:
        """See :class:`streams.sink.AnswerSink`."""
        return self._sink.is_started

    def set_data_centre(self, data_centre: str) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        self._sink.set_data_centre(data_centre)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        self._status = status
        self._headers = headers
        await self._sink.start(status, headers)

    async def write(self, data: bytes) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        self._sent_bytes += len(data)
        if self._sent_bytes > claims.MAX_STORED_ANSWER_BYTES:
            self._body = None
        if self._body is not None:
            self._body += data
        await self._sink.write(data)

    async def finish(self) -> None:
        """See :class:`streams.sink.AnswerSink`."""
        await self._sink.finish()

    def recorded(self) -> claims.RecordedAnswer | None:
        """Return the copy, or None if the answer is too large to record."""
        if self._body is None:
            return None
        return claims.RecordedAnswer(
            self._status, self._headers, bytes(self._body)
        )

    async def complete(self, answer: claims.RecordedAnswer) -> None:
        """Send the part of *answer* that has not been sent yet.

        The agent recorded the execution whose bytes were relayed, so sending
        continues at the offset reached so far.
        """
        if not self._sink.is_started:
            await self._sink.start(answer.status, answer.headers)
        rest = answer.body[self._sent_bytes :]
        if rest:
            await self._sink.write(rest)
        await self._sink.finish()


class _Answered:
    """Type of the marker for a call that has been answered."""


_ANSWERED = _Answered()

_STATES = {
    ttypes.OutcomeState.NOT_RUN: 'not_run',
    ttypes.OutcomeState.DONE: 'done',
    ttypes.OutcomeState.UNKNOWN: 'unknown',
}


def _recorded_answer(
    outcome: ttypes.CallOutcome,
) -> claims.RecordedAnswer | None:
    """Return the answer in *outcome*, or None if none was recorded."""
    if outcome.status is None:
        return None
    return claims.RecordedAnswer(
        outcome.status, outcome.headers or {}, outcome.body or b''
    )


def _outcome_unknown(message: str) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.OUTCOME_UNKNOWN, message)


async def _send_recorded(
    sink: sink_module.AnswerSink, answer: claims.RecordedAnswer
) -> None:
    await sink.start(answer.status, answer.headers)
    await sink.write(answer.body)
    await sink.finish()
