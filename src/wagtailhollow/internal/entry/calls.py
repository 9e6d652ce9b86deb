"""Selects targets for calls and retries failed attempts."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ... import errors
from ..retries import budget, hedging
from ..routing import policy
from ..streams import sink as sink_module
from . import attempt as attempt_module
from . import call as call_module
from .shortage import waiting

if TYPE_CHECKING:
    from ..wire.gen import ttypes

DEFAULT_POLICY = 'prefix_affinity'
DEFAULT_MAX_REJECTIONS = 12
"""Rejected attempts of one call after which the call itself is refused."""

RETRY_AFTER_RANGE_S = (0.8, 1.6)
"""Range of the random Retry-After.

It spreads the retries of callers refused at the same moment. Within the width
of this range targets finish a third of the calls that they are running.
"""


def random_retry_after_s(call: call_module.Call) -> float:
    """Return when the caller of a refused call should return."""
    return random.uniform(*RETRY_AFTER_RANGE_S)


@dataclasses.dataclass(frozen=True)
class RetryRules:
    """Limits for the attempts of one call.

    :ivar max_rejections: number of rejected attempts after which the call is
        refused.
    :ivar rejections_use_budget: whether an attempt after a rejection uses
        the retry budget.
    :ivar max_wait_share: part of the remaining time that a call may wait for
        a target; a caller that is refused early still has time to retry.
    :ivar new_budget: creates the retry budget of one service.
    :ivar retry_after_s: returns when the caller of a refused call should
        return.
    """

    max_rejections: int = DEFAULT_MAX_REJECTIONS
    rejections_use_budget: bool = False
    max_wait_share: float = 1.0
    new_budget: Callable[[], budget.RetryPolicy] = budget.RETRY_POLICIES[
        budget.DEFAULT_POLICY
    ]
    retry_after_s: Callable[[call_module.Call], float] = random_retry_after_s


class Runner(Protocol):
    """Runs one attempt at one target."""

    async def run(
        self, attempt: attempt_module.Attempt, sink: sink_module.AnswerSink
    ) -> None:
        """Deliver the answer to *sink*.

        :raises AttemptFailed: without a complete answer.
        """


class TargetSource(Protocol):
    """State of the targets to which calls can be sent."""

    def has_available_target(self, call: call_module.Call) -> bool:
        """Return whether any target of the call's service is available.

        While none is, a call waits before candidates are chosen.
        """

    def unavailable_s(self, call: call_module.Call) -> float:
        """Return for how long no target will be available, 0 if unknown."""

    def candidates(self, call: call_module.Call) -> list[policy.Candidate]:
        """Return the targets that may serve the call."""

    def has_capacity(
        self, call: call_module.Call, candidate: policy.Candidate
    ) -> bool:
        """Return whether the call should be sent now instead of waiting."""

    def preferred(
        self, call: call_module.Call, candidates: list[policy.Candidate]
    ) -> list[policy.Candidate]:
        """Return the candidates with capacity that suit the call best.

        The list is empty if the call should wait for another target.
        """

    def attempt(
        self,
        call: call_module.Call,
        candidate: policy.Candidate,
        number: int,
        claim: ttypes.ClaimTicket | None,
    ) -> attempt_module.Attempt:
        """Return the attempt of *call* at *candidate*."""


class ClaimedCallHandler(Protocol):
    """Handles the calls that must run at most once."""

    async def handle(
        self,
        handler: CallHandler,
        call: call_module.Call,
        sink: sink_module.AnswerSink,
    ) -> None:
        """Answer *call*; see :meth:`CallHandler.handle`."""


class CallHandler:
    """Runs attempts of calls until one of them is answered."""

    def __init__(
        self,
        runner: Runner,
        targets: TargetSource,
        claimed: ClaimedCallHandler | None,
        max_wait_s: float,
        rules: RetryRules | None = None,
        screen: Callable[[call_module.Call], None] = lambda call: None,
        turns: waiting.Turns | None = None,
    ) -> None:
        """Create a handler.

        :param claimed: handles the calls that must run at most once; None if
            they are not retried after an answer was lost.
        :param max_wait_s: longest wait for a target that is not full.
        :param screen: raises Refusal for a call that no target may get.
        :param turns: decides when calls that wait look for a target again;
            by default each does so at random times.
        """
        self._screen = screen
        self._turns = turns or waiting.RandomTurns()
        self._runner = runner
        self._targets = targets
        self._claimed = claimed
        self._max_wait_s = max_wait_s
        self._rules = rules or RetryRules()
        self._policies: dict[str, policy.RoutingPolicy] = {}
        self._budgets: dict[str, budget.RetryPolicy] = {}

    async def handle(
        self, call: call_module.Call, sink: sink_module.AnswerSink
    ) -> None:
        """Answer *call* through *sink*.

        :raises Refusal: if the call failed; if the sink has been started,
            the answer is truncated.
        """
        if call.must_not_repeat and self._claimed is not None:
            await self._claimed.handle(self, call, sink)
        else:
            await _CallAttempts(self, call).run(sink)

    async def choose(
        self, call: call_module.Call, tried: set[str]
    ) -> policy.Candidate:
        """Return the target for the next attempt.

        :raises Refusal: NO_TARGET if no target is in service, OVERLOADED if
            all of them have been tried or are full, or what ``screen`` raises.
        """
        self._screen(call)
        await self._wait_for_available_target(call)
        candidates = self._targets.candidates(call)
        untried = self._targets.preferred(
            call,
            [
                item
                for item in candidates
                if item.target not in tried
                and self._targets.has_capacity(call, item)
            ],
        )
        if not untried:
            kind = (
                errors.ErrorKind.OVERLOADED
                if candidates
                else errors.ErrorKind.NO_TARGET
            )
            raise errors.Refusal(
                kind,
                f'no target of {call.service_name} can accept the call now',
                retry_after_s=self._rules.retry_after_s(call),
            )
        self._turns.found(call)
        below_cap = [item for item in untried if item.load < 1]
        return self._policy(call).choose(below_cap or untried, call.prefix)

    async def _wait_for_available_target(self, call: call_module.Call) -> None:
        """Wait while no target of the service is available.

        If all connections to agents are lost at the same moment, reconnecting
        takes a fraction of a second. A refused caller would wait longer before
        it retries.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self.wait_s(call)
        while (
            not self._targets.has_available_target(call)
            and loop.time() < until_s
        ):
            unavailable_s = self._targets.unavailable_s(call)
            if unavailable_s and loop.time() + unavailable_s > until_s:
                raise errors.Refusal(
                    errors.ErrorKind.NO_TARGET,
                    f'all targets of {call.service_name} have asked for no '
                    f'calls for {unavailable_s:.1f} s',
                    retry_after_s=unavailable_s,
                )
            await self._turns.wait(call, until_s)
            self._screen(call)

    async def wait_for_turn(
        self, call: call_module.Call, until_s: float
    ) -> None:
        """Wait before looking again for a place at a target.

        :raises Refusal: if the call will find none.
        """
        self._turns.require_chance(call)
        await self._turns.wait(call, until_s)

    def has_other_target(
        self, call: call_module.Call, candidate: policy.Candidate
    ) -> bool:
        """Return whether a target other than *candidate* can take a call."""
        return any(
            item.target != candidate.target
            and self._targets.has_capacity(call, item)
            for item in self._targets.candidates(call)
        )

    def attempt(
        self,
        call: call_module.Call,
        candidate: policy.Candidate,
        number: int,
        claim: ttypes.ClaimTicket | None = None,
    ) -> attempt_module.Attempt:
        """Return the attempt of *call* at *candidate*."""
        return self._targets.attempt(call, candidate, number, claim)

    async def run_attempt(
        self, attempt: attempt_module.Attempt, sink: sink_module.AnswerSink
    ) -> None:
        """Run one attempt; see :meth:`Runner.run`."""
        await self._runner.run(attempt, sink)

    def retry_budget(self, service_name: str) -> budget.RetryPolicy:
        """Return the retry budget of a service at this entry."""
        if service_name not in self._budgets:
            self._budgets[service_name] = self._rules.new_budget()
        return self._budgets[service_name]

    @property
    def rules(self) -> RetryRules:
        """Return the limits for the attempts of one call."""
        return self._rules

    def wait_s(self, call: call_module.Call) -> float:
        """Return how much longer *call* may wait for a target."""
        share = self._rules.max_wait_share
        return min(
            self._max_wait_s, call.max_wait_s, call.remaining_s() * share
        )

    def _policy(self, call: call_module.Call) -> policy.RoutingPolicy:
        name = call.service.routing
        if name not in policy.POLICIES:
            # A table written for a newer release may name an unknown policy.
            name = DEFAULT_POLICY
        if name not in self._policies:
            self._policies[name] = policy.POLICIES[name]()
        return self._policies[name]


class _CallAttempts:
    """Runs the attempts of one call."""

    def __init__(self, handler: CallHandler, call: call_module.Call) -> None:
        self._handler = handler
        self._call = call
        self._budget = handler.retry_budget(call.service_name)
        self._numbers = itertools.count(1)
        self._tried: set[str] = set()
        self._executions = 0
        self._wait_until_s = 0.0
        self._restart_wait()

    async def run(self, sink: sink_module.AnswerSink) -> None:
        """Answer the call through *sink*.

        :raises Refusal: see :meth:`CallHandler.handle`.
        """
        self._budget.record_first_attempt()
        delay_s = self._call.service.hedge_after_ms / 1000
        if delay_s <= 0:
            await self._run_attempts(sink)
            return
        await hedging.run(
            sink,
            self._run_attempts,
            self._run_attempts,
            delay_s,
            self._budget.try_spend,
        )

    def _restart_wait(self) -> None:
        loop = asyncio.get_running_loop()
        self._wait_until_s = loop.time() + self._handler.wait_s(self._call)

    async def _run_attempts(self, sink: sink_module.AnswerSink) -> None:
        rejections = 0
        while True:
            candidate = await self._wait_for_target()
            self._tried.add(candidate.target)
            number = next(self._numbers)
            attempt = dataclasses.replace(
                self._handler.attempt(self._call, candidate, number),
                can_be_replaced=functools.partial(
                    self._can_be_replaced, candidate
                ),
            )
            try:
                await self._handler.run_attempt(attempt, sink)
                return
            except attempt_module.AttemptFailed as exc:
                if exc.phase is attempt_module.Phase.REFUSED:
                    rejections += 1
                if self._may_retry(exc, rejections):
                    if exc.phase is attempt_module.Phase.SENT:
                        # It can take longer than the longest wait for a
                        # target to notice that an answer is lost, so the
                        # retry gets a new wait.
                        self._restart_wait()
                    continue
                if exc.phase is attempt_module.Phase.REFUSED:
                    # The kind of an agent's refusal describes one target only.
                    raise errors.Refusal(
                        errors.ErrorKind.OVERLOADED,
                        f'no target accepted the call: {exc.refusal.message}',
                        retry_after_s=self._handler.rules.retry_after_s(
                            self._call
                        ),
                    ) from exc
                raise exc.refusal from exc

    def _may_retry(
        self, exc: attempt_module.AttemptFailed, rejections: int
    ) -> bool:
        if exc.phase is attempt_module.Phase.ANSWERING:
            return False
        if self._call.remaining_s() <= 0:
            return False
        rules = self._handler.rules
        if exc.phase is attempt_module.Phase.REFUSED:
            # The target did not execute the call, so a retry adds no
            # execution.
            return rejections < rules.max_rejections and (
                not rules.rejections_use_budget or self._budget.try_spend()
            )
        if self._call.must_not_repeat:
            return False
        self._executions += 1
        if self._executions >= self._call.max_attempts:
            return False
        return self._budget.try_spend()

    def _can_be_replaced(self, candidate: policy.Candidate) -> bool:
        return (
            not self._call.must_not_repeat
            and self._executions + 1 < self._call.max_attempts
            and self._budget.can_spend()
            and self._handler.has_other_target(self._call, candidate)
        )

    async def _wait_for_target(self) -> policy.Candidate:
        """Return the next target; wait for a limited time if all are full."""
        loop = asyncio.get_running_loop()
        while True:
            try:
                return await self._handler.choose(self._call, self._tried)
            except errors.Refusal as exc:
                if (
                    exc.kind is not errors.ErrorKind.OVERLOADED
                    or loop.time() >= self._wait_until_s
                ):
                    raise
                self._tried.clear()
                await self._handler.wait_for_turn(
                    self._call, self._wait_until_s
                )
