"""A call and what is known of its execution."""

from __future__ import annotations

import dataclasses
import math
import sys
import time
from collections.abc import Mapping

from ..table import model


@dataclasses.dataclass
class ExecutionRecord:
    """What the entry knows of the execution of one call.

    A refusal reports "not run" only if no attempt may have run. If the error
    may be retried later and the call has an idempotency key, the key has to be
    free as well.

    :ivar may_have_run: an attempt was dispatched, and it is not certain that
        it did not run.
    :ivar is_idempotency_key_free: the claim was read, and no earlier request
        with the key had been executed by then.
    """

    may_have_run: bool = False
    is_idempotency_key_free: bool = False


@dataclasses.dataclass(frozen=True)
class Call:
    """A call of an identified organisation.

    :ivar call_id: unique; returned to the caller as the request id.
    :ivar idempotency_key: the caller's key, or None.
    :ivar must_not_repeat: whether the call must run at most once.
    :ivar tokens: upper bound of the tokens used, for limits.
    :ivar prefix: start of the prompt, for prefix affinity.
    :ivar deadline_s: monotonic time by which the answer has to be complete.
    :ivar max_attempts: how many targets may execute the call.
    :ivar max_wait_s: longest wait for a target.
    :ivar arrived_s: monotonic time at which the head of the request was
        known, or else the whole body.
    :ivar execution: what is known of the execution; mutable.
    """

    call_id: str
    organisation: str
    service_name: str
    service: model.Service
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    idempotency_key: str | None
    must_not_repeat: bool
    tokens: int
    prefix: str
    deadline_s: float
    max_attempts: int = sys.maxsize
    max_wait_s: float = math.inf
    arrived_s: float = dataclasses.field(default_factory=time.monotonic)
    execution: ExecutionRecord = dataclasses.field(
        default_factory=ExecutionRecord, compare=False
    )

    def remaining_s(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline_s - time.monotonic()
