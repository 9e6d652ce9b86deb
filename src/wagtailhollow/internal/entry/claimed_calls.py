"""Calls that must run at most once: claim, dispatch, settle, replay."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

from absl import logging

from ... import errors
from ..claims import claims
from ..observability import metrics
from ..platform import api
from ..routing import load_view
from ..wire import connection, pool
from ..wire.gen import ttypes
from . import attempts, calls
from . import call as call_module

MAX_TURNS = 4
SETTLE_TIMEOUT_S = 2.0
SETTLE_ATTEMPTS = 5
SETTLE_PAUSE_S = 0.3

_STATES = {
    ttypes.OutcomeState.NOT_RUN: 'not_run',
    ttypes.OutcomeState.DONE: 'done',
    ttypes.OutcomeState.UNKNOWN: 'unknown',
}


class ClaimedCalls:
    """Handles calls that must not be repeated."""

    def __init__(
        self,
        book: claims.ClaimBook,
        runner: attempts.AttemptRunner,
        peers: pool.PeerPool,
        view: load_view.LoadView,
    ) -> None:
        self._book = book
        self._runner = runner
        self._peers = peers
        self._view = view

    async def handle(
        self,
        handler: calls.CallHandler,
        call: call_module.Call,
        sink: call_module.AnswerSink,
    ) -> None:
        """Answer *call*: result, proven not run, or may have run."""
        key = call.idempotency_key or call.call_id
        fingerprint = claims.fingerprint(call.method, call.path, call.body)
        tried: set[str] = set()
        try:
            for _ in range(MAX_TURNS):
                found = await self._book.find(call.organisation, key)
                if found is not None and found.fingerprint != fingerprint:
                    raise errors.Refusal(
                        errors.ErrorKind.KEY_REUSED,
                        'the idempotency key was used for another request',
                    )
                if found is not None and found.state != 'not_run':
                    found = await self._settle_other(found)
                    if found.state != 'not_run':
                        await self._replay(found, call, sink)
                        return
                candidate = await handler.choose(call, tried)
                tried.add(candidate.target)
                claim = self._new_claim(call, key, fingerprint, candidate)
                with contextlib.suppress(api.Conflict):
                    claim = await self._book.take(claim, found)
                    if await self._run(handler, call, claim, candidate, sink):
                        return
        except api.PlatformUnavailable as exc:
            # Nothing was dispatched: a dispatch needs a settled claim, and
            # what fails after it is handled in _run.
            raise errors.Refusal(
                errors.ErrorKind.PLATFORM_UNAVAILABLE,
                'calls that must not be repeated wait for the platform',
                retry_after_s=2.0,
            ) from exc
        raise errors.Refusal(
            errors.ErrorKind.OVERLOADED,
            'no target took the call',
            retry_after_s=1.0,
        )

    def _new_claim(self, call, key, fingerprint, candidate) -> claims.Claim:
        report = self._view.report(candidate.target)
        if report is None:
            raise errors.Refusal(
                errors.ErrorKind.NO_TARGET, 'the target was lost'
            )
        return claims.new_claim(
            call.organisation,
            key,
            fingerprint,
            candidate.target,
            report.agent.incarnation,
            candidate.address,
            report.load.agent_clock_ms,
        )

    async def _run(self, handler, call, claim, candidate, sink) -> bool:
        """Dispatch once; return False if it is proven that it did not run."""
        recorder = RecordingSink(sink)
        try:
            await self._runner.run(
                handler.attempt(call, candidate, 1, claim.ticket()), recorder
            )
        except attempts.AttemptFailed as exc:
            if exc.phase is attempts.Phase.REFUSED:
                await self._record(claim, 'not_run')
                return False
            outcome = await self._ask(claim)
            return await self._after_ask(claim, outcome, exc, sink)
        metrics.claim_outcomes.labels(call.service_name, 'done').inc()
        await self._record(claim, 'done', recorder.recorded())
        return True

    async def _after_ask(self, claim, outcome, exc, sink) -> bool:
        if outcome.state == ttypes.OutcomeState.NOT_RUN:
            await self._record(claim, 'not_run')
            return False
        if outcome.state == ttypes.OutcomeState.DONE and not sink.is_started:
            answer = claims.RecordedAnswer(
                outcome.status, outcome.headers, outcome.body
            )
            await self._record(claim, 'done', answer)
            await _send(sink, answer)
            return True
        if outcome.state == ttypes.OutcomeState.UNKNOWN:
            await self._record(claim, 'unknown')
        raise errors.Refusal(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            f'the call may have run: {exc.refusal.message}',
        )

    async def _settle_other(self, found: claims.Claim) -> claims.Claim:
        """Find out what became of another entry's claim."""
        if found.state != 'claimed':
            return found
        outcome = await self._ask(found, attempts_left=1)
        state = _STATES.get(outcome.state)
        if state is None:
            return found
        answer = (
            claims.RecordedAnswer(
                outcome.status, outcome.headers, outcome.body
            )
            if state == 'done'
            else None
        )
        return await self._book.settle(found, state, answer)

    async def _ask(
        self, claim: claims.Claim, attempts_left: int = SETTLE_ATTEMPTS
    ) -> ttypes.CallOutcome:
        """Ask the agent over a new connection what became of a claim.

        The kept connection may be the one that went silent. No answer from
        the agent means that nothing is known yet, hence IN_PROGRESS.
        """
        message = ttypes.CancelIfNotStarted(
            claim.ticket(), claim.target, claim.incarnation
        )
        for _ in range(attempts_left):
            try:
                conn = await self._peers.fresh(claim.address)
            except (OSError, TimeoutError, errors.Refusal) as exc:
                logging.info('agent of %s not reached: %r', claim.target, exc)
                await asyncio.sleep(SETTLE_PAUSE_S)
                continue
            try:
                outcome = await conn.request(message, SETTLE_TIMEOUT_S)
                if outcome.state != ttypes.OutcomeState.IN_PROGRESS:
                    return outcome
            except (connection.ConnectionLost, TimeoutError):
                pass
            finally:
                conn.close('settled')
            await asyncio.sleep(SETTLE_PAUSE_S)
        return ttypes.CallOutcome(ttypes.OutcomeState.IN_PROGRESS)

    async def _replay(
        self,
        found: claims.Claim,
        call: call_module.Call,
        sink: call_module.AnswerSink,
    ) -> None:
        metrics.claim_outcomes.labels(call.service_name, found.state).inc()
        if found.state == 'done' and found.answer is not None:
            await _send(sink, found.answer)
            return
        if found.state == 'claimed':
            raise errors.Refusal(
                errors.ErrorKind.IN_PROGRESS,
                'an earlier call with this key has not been settled',
                retry_after_s=1.0,
            )
        raise errors.Refusal(
            errors.ErrorKind.OUTCOME_UNKNOWN,
            'an earlier call with this key may have run',
        )

    async def _record(
        self,
        claim: claims.Claim,
        state: str,
        answer: claims.RecordedAnswer | None = None,
    ) -> None:
        """Write the outcome; if that fails, a later caller asks the agent."""
        try:
            await self._book.settle(claim, state, answer)
        except (api.PlatformUnavailable, api.Conflict) as exc:
            logging.warning('outcome not recorded: %r', exc)


class RecordingSink:
    """Passes an answer on and keeps a copy for the claim."""

    def __init__(self, sink: call_module.AnswerSink) -> None:
        self._sink = sink
        self._status = 0
        self._headers: Mapping[str, str] = {}
        self._body = bytearray()

    @property
    def is_started(self) -> bool:
        """See :class:`call.AnswerSink`."""
        return self._sink.is_started

    def served_by(self, data_centre: str) -> None:
        """See :class:`call.AnswerSink`."""
        self._sink.served_by(data_centre)

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """See :class:`call.AnswerSink`."""
        self._status = status
        self._headers = headers
        await self._sink.start(status, headers)

    async def write(self, data: bytes) -> None:
        """See :class:`call.AnswerSink`."""
        self._body += data
        await self._sink.write(data)

    async def finish(self) -> None:
        """See :class:`call.AnswerSink`."""
        await self._sink.finish()

    def recorded(self) -> claims.RecordedAnswer:
        """Return the copy."""
        return claims.RecordedAnswer(
            self._status, self._headers, bytes(self._body)
        )


async def _send(
    sink: call_module.AnswerSink, answer: claims.RecordedAnswer
) -> None:
    await sink.start(answer.status, answer.headers)
    await sink.write(answer.body)
    await sink.finish()
