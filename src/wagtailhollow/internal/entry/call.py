"""One call of a caller and the way its answer goes back."""

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

    A refusal says "not run" only if neither of these stands against it.

    :ivar may_have_run: an attempt was dispatched and not proven unexecuted.
    :ivar is_key_free: the claim was read, and no earlier request with the
        key had been executed then.
    """

    may_have_run: bool = False
    is_key_free: bool = False


@dataclasses.dataclass(frozen=True)
class Call:
    """A call after identification, before admission.

    :ivar call_id: unique; also the request id that the caller sees.
    :ivar idempotency_key: the caller's key, or None.
    :ivar must_not_repeat: whether the call goes through a claim.
    :ivar tokens: worst case of tokens, for limits.
    :ivar prefix: start of the prompt, for prefix affinity.
    :ivar deadline_s: monotonic time by which the answer has to end.
    :ivar max_attempts: targets that may execute it.
    :ivar max_wait_s: how long its caller may be kept waiting for a target.
    :ivar execution: what is known of its execution; changes with time.
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
