"""Calls that must run at most once: claim, dispatch, settle, replay.

``proof/at_most_once.py`` specifies the protocol; each of its actions names
the function here, in the ledger or in the claim store that implements it.
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

MAX_TURNS = 4
ASK_TIMEOUT_S = 2.0
MAX_UNREACHABLE = 5
"""How often an agent is asked that does not answer."""

ASK_PAUSE_S = 0.3
GIVE_UP_AGE_S = 600.0
"""Age of a claim from which its silent agent is not waited for any more.

The agent's own record of the call has expired by then.
"""


class ClaimedCalls:
    """Handles calls that must not be repeated."""

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
        self._view = view

    async def handle(
        self,
        handler: calls.CallHandler,
        call: call_module.Call,
        sink: sink_module.AnswerSink,
    ) -> None:
        """Answer *call*: result, proven not run, or may have run."""
        claimed_call = _ClaimedCall(
            self._claims,
            self._runner,
            self._resolver,
            self._view,
            handler,
            call,
        )
        await claimed_call.answer(sink)


class OutcomeResolver:
    """Asks agents what became of claims."""

    def __init__(self, peers: pool.PeerPool) -> None:
        self._peers = peers

    async def resolve(
        self, claim: claims.Claim, deadline_s: float
    ) -> ttypes.CallOutcome:
        """Return the outcome, waiting until it is known or the deadline.

        IN_PROGRESS means that nothing is known yet.

        :param deadline_s: monotonic time.
        """
        unreachable = 0
        while True:
            outcome = await self.query(claim)
            if outcome is None:
                unreachable += 1
            elif outcome.state != ttypes.OutcomeState.IN_PROGRESS:
                return outcome
            is_late = time.monotonic() >= deadline_s
            if is_late or unreachable >= MAX_UNREACHABLE:
                return ttypes.CallOutcome(ttypes.OutcomeState.IN_PROGRESS)
            await asyncio.sleep(ASK_PAUSE_S)

    async def query(self, claim: claims.Claim) -> ttypes.CallOutcome | None:
        """Ask once over a new connection; None if no answer came.

        The kept connection may be the one that went silent.
        """
        message = ttypes.CancelIfNotStarted(
            claim.ticket(), claim.target, claim.incarnation
        )
        try:
            conn = await self._peers.fresh(claim.address)
        except (OSError, EOFError, TimeoutError, errors.Refusal) as exc:
            logging.info('agent of %s not reached: %r', claim.target, exc)
            return None
        try:
            outcome = await conn.request(message, ASK_TIMEOUT_S)
        except (
            connection.ConnectionLost,
            TimeoutError,
            errors.Refusal,
        ) as exc:
            # A refused resolver says nothing about the call that it is about.
            logging.info('agent of %s gave no outcome: %r', claim.target, exc)
            return None
        finally:
            conn.close('settled')
        return outcome if isinstance(outcome, ttypes.CallOutcome) else None


class _ClaimedCall:
    """One request with a key, from the first look at its claim to the end."""

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
        self._view = view
        self._handler = handler
        self._call = call
        self._key = call.idempotency_key or claims.key_of_unkeyed_call(
            call.call_id
        )
        self._fingerprint = claims.fingerprint(
            call.service_name, call.method, call.path, call.body
        )
        self._tried: set[str] = set()
        self._own: claims.Claim | None = None

    async def answer(self, sink: sink_module.AnswerSink) -> None:
        """Answer through *sink*; raises Refusal."""
        try:
            for turn in range(1, MAX_TURNS + 1):
                previous = self._own or await self._find_free(sink)
                if previous is _ANSWERED:
                    return
                if await self._take_and_run(previous, turn, sink):
                    return
        except api.PlatformUnavailable as exc:
            # A dispatch needs a settled claim, and what fails after it does
            # not raise this.
            raise errors.Refusal(
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'calls that must not be repeated wait for the platform',
                retry_after_s=2.0,
            ) from exc
        finally:
            if self._own is not None:
                await self._record(self._own, 'not_run')
        raise errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            'no target took the call',
            retry_after_s=1.0,
        )

    async def _find_free(
        self, sink: sink_module.AnswerSink
    ) -> claims.Claim | _Answered | None:
        """Return what a new claim replaces, or answer from the present one.

        :raises Refusal: an earlier request with the key decides the answer.
        """
        self._call.execution.is_key_free = False
        found = await self._claims.find(self._call.organisation, self._key)
        if found is None or found.is_expired():
            self._call.execution.is_key_free = True
            return found
        if found.fingerprint != self._fingerprint:
            raise errors.Refusal(
                errors.ErrorKind.KEY_REUSED,
                'the idempotency key was used for another request',
            )
        if found.state == 'claimed':
            found = await self._settle_other(found)
        if found.state == 'not_run':
            self._call.execution.is_key_free = True
            return found
        await self._replay(found, sink)
        return _ANSWERED

    async def _settle_other(self, found: claims.Claim) -> claims.Claim:
        """Find out what became of another request's claim."""
        outcome = await self._resolver.query(found)
        if outcome is None and found.age_s() > GIVE_UP_AGE_S:
            return dataclasses.replace(found, state='unknown')
        if outcome is None or outcome.state not in _STATES:
            return found
        state = _STATES[outcome.state]
        answer = _recorded(outcome) if state == 'done' else None
        if state != 'not_run':
            await self._record(found, state, answer)
        return dataclasses.replace(found, state=state, answer=answer)

    async def _replay(
        self, found: claims.Claim, sink: sink_module.AnswerSink
    ) -> None:
        self._count(found.state)
        if found.state == 'done' and found.answer is not None:
            await _send(sink, found.answer)
            return
        if found.state == 'claimed':
            raise errors.Refusal(
                errors.ErrorKind.IN_PROGRESS,
                'an earlier call with this key has not been settled',
                retry_after_s=1.0,
            )
        raise _unknown(
            'an earlier call with this key ran; its answer was not kept'
            if found.state == 'done'
            else 'an earlier call with this key may have run'
        )

    async def _take_and_run(
        self,
        previous: claims.Claim | None,
        turn: int,
        sink: sink_module.AnswerSink,
    ) -> bool:
        """Claim and dispatch once; return False if another turn may follow."""
        candidate = await self._handler.choose(self._call, self._tried)
        self._tried.add(candidate.target)
        claim = self._new_claim(candidate)
        self._own = None
        try:
            claim = await self._claims.acquire(claim, previous)
        except api.Conflict:
            self._call.execution.is_key_free = False
            return False
        if await self._run(claim, candidate, turn, sink):
            return True
        self._own = claim
        return False

    def _new_claim(self, candidate: policy.Candidate) -> claims.Claim:
        report = self._view.report(candidate.target)
        if report is None:
            raise errors.Refusal(
                errors.ErrorKind.NO_TARGET, 'the target was lost'
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
        turn: int,
        sink: sink_module.AnswerSink,
    ) -> bool:
        """Dispatch once; return False if it is proven that it did not run."""
        recorder = RecordingSink(sink)
        # The claim decides the incarnation and the address: the agent may
        # have restarted since the claim was made, and only the incarnation
        # that the claim names can prove what became of the call.
        attempt = dataclasses.replace(
            self._handler.attempt(self._call, candidate, turn, claim.ticket()),
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
        self._count('done')
        await self._record(claim, 'done', recorder.recorded())
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
            answer = _recorded(outcome)
            await self._record(claim, 'done', answer)
            if answer is not None:
                self._count('done')
                await recorder.complete(answer)
                return True
        if outcome.state == ttypes.OutcomeState.UNKNOWN:
            await self._record(claim, 'unknown')
        self._count('unknown')
        raise _unknown(f'the call may have run: {exc.refusal.message}')

    async def _record(
        self,
        claim: claims.Claim,
        state: str,
        answer: claims.RecordedAnswer | None = None,
    ) -> None:
        """Write the outcome; if that fails, a later caller asks the agent."""
        try:
            await self._claims.record_outcome(claim, state, answer)
        except (api.PlatformUnavailable, api.Conflict) as exc:
            logging.warning('outcome not recorded: %r', exc)

    def _count(self, state: str) -> None:
        metrics.claim_outcomes.labels(self._call.service_name, state).inc()


class RecordingSink:
    """Passes an answer on and keeps a copy for the claim."""

    def __init__(self, sink: sink_module.AnswerSink) -> None:
        self._sink = sink
        self._status = 0
        self._headers: Mapping[str, str] = {}
        self._body: bytearray | None = bytearray()
        self._sent_bytes = 0

    @property
    def is_started(self) -> bool:
        """See :class:`sink.AnswerSink`."""
        return self._sink.is_started

    def set_data_centre(self, data_centre: str) -> None:
        """See :class:`sink.AnswerSink`."""
        self._sink.set_data_centre(data_centre)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """See :class:`sink.AnswerSink`."""
        self._status = status
        self._headers = headers
        await self._sink.start(status, headers)

    async def write(self, data: bytes) -> None:
        """See :class:`sink.AnswerSink`."""
        self._sent_bytes += len(data)
        if self._sent_bytes > claims.MAX_RECORDED_BODY_BYTES:
            self._body = None
        if self._body is not None:
            self._body += data
        await self._sink.write(data)

    async def finish(self) -> None:
        """See :class:`sink.AnswerSink`."""
        await self._sink.finish()

    def recorded(self) -> claims.RecordedAnswer | None:
        """Return the copy, or None if the answer is too large to keep."""
        if self._body is None:
            return None
        return claims.RecordedAnswer(
            self._status, self._headers, bytes(self._body)
        )

    async def complete(self, answer: claims.RecordedAnswer) -> None:
        """Send what is missing of *answer*, of which a part may be sent.

        The agent recorded the same execution whose bytes were relayed, so
        the rest follows at the position that was reached.
        """
        if not self._sink.is_started:
            await self._sink.start(answer.status, answer.headers)
        rest = answer.body[self._sent_bytes :]
        if rest:
            await self._sink.write(rest)
        await self._sink.finish()


class _Answered:
    """Says that the caller has its answer."""


_ANSWERED = _Answered()

_STATES = {
    ttypes.OutcomeState.NOT_RUN: 'not_run',
    ttypes.OutcomeState.DONE: 'done',
    ttypes.OutcomeState.UNKNOWN: 'unknown',
}


def _recorded(outcome: ttypes.CallOutcome) -> claims.RecordedAnswer | None:
    """Return the answer in *outcome*, or None if the agent kept none."""
    if outcome.status is None:
        return None
    return claims.RecordedAnswer(
        outcome.status, outcome.headers or {}, outcome.body or b''
    )


def _unknown(message: str) -> errors.Refusal:
    return errors.Refusal(errors.ErrorKind.OUTCOME_UNKNOWN, message)


async def _send(
    sink: sink_module.AnswerSink, answer: claims.RecordedAnswer
) -> None:
    await sink.start(answer.status, answer.headers)
    await sink.write(answer.body)
    await sink.finish()
