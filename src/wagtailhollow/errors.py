"""Error kinds and the answer that each of them gives.

Every refusal or failure that a process reports is one :class:`ErrorKind`; the
list is closed. The table :data:`ANSWERS` maps each kind to an HTTP status, to
what is known about the execution of the call, and to retry advice. Processes
send each other the kind by name, see ``DispatchReply.kind``, ``Abort.kind``
and ``Reject.kind`` in the IDL.
"""

from __future__ import annotations

import dataclasses
import enum


class ErrorKind(enum.Enum):
    """Reasons why a call, a frame or a command can fail.

    A command is, for example, a dispatch to an agent or a step of an
    expert-map change.
    """

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEADER_TOO_LARGE = 'header_too_large'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    KEY_REUSED = 'key_reused'
    LIMIT_EXCEEDED = 'limit_exceeded'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    OVERLOADED = 'overloaded'
    NO_TARGET = 'no_target'
    TARGET_FULL = 'target_full'
    TARGET_DRAINING = 'target_draining'
    TARGET_WITHDRAWN = 'target_withdrawn'
    STALE_ORDER = 'stale_order'
    STALE_INCARNATION = 'stale_incarnation'
    NOT_READY = 'not_ready'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    IN_PROGRESS = 'in_progress'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    ANSWER_INCOMPLETE = 'answer_incomplete'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    ENGINE_FAILED = 'engine_failed'
    PROMPT_HELD = 'prompt_held'
    ENTRY_STOPPING = 'entry_stopping'
    SLOW_SENDER = 'slow_sender'
    PROTOCOL_VERSION = 'protocol_version'
    BAD_FRAME = 'bad_frame'
    INTERNAL = 'internal'


class Execution(enum.Enum):
    """What is known about the execution of a failed call."""

    RAN = 'ran'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'


class Retry(enum.Enum):
    """What a caller should do about a failed call.

    ``NO``: the same request would fail again. ``LATER``: a retry may
    succeed; unless the execution is ``NOT_RUN``, it may run the call twice.
    ``SAME_KEY``: retry with the same Idempotency-Key. A call sent without a
    key may be retried only if running it twice is harmless.
    """

    NO = 'no'
    LATER = 'later'
    SAME_KEY = 'same_key'


@dataclasses.dataclass(frozen=True)
class Answer:
    """HTTP status, execution and retry advice for one error kind."""

    status: int
    execution: Execution
    retry: Retry

    def uncertain(self) -> Answer:
        """Return this answer for a call that may have run earlier.

        A kind describes the last attempt only. If an earlier attempt, or an
        earlier request with the same key, may have executed the call, "not
        run" would be false.
        """
        if self.execution is not Execution.NOT_RUN:
            return self
        return Answer(self.status, Execution.MAY_HAVE_RUN, Retry.SAME_KEY)


_NOT_RUN = Execution.NOT_RUN
_MAY_HAVE_RUN = Execution.MAY_HAVE_RUN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, Retry.NO),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NOT_RUN, Retry.NO),
    ErrorKind.HEADER_TOO_LARGE: Answer(431, _NOT_RUN, Retry.NO),
    ErrorKind.UNAUTHENTICATED: Answer(401, _NOT_RUN, Retry.NO),
    ErrorKind.FORBIDDEN: Answer(403, _NOT_RUN, Retry.NO),
    ErrorKind.UNKNOWN_MODEL: Answer(404, _NOT_RUN, Retry.NO),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, _NOT_RUN, Retry.NO),
    ErrorKind.KEY_REUSED: Answer(422, _NOT_RUN, Retry.NO),
    ErrorKind.LIMIT_EXCEEDED: Answer(429, _NOT_RUN, Retry.LATER),
    ErrorKind.BUDGET_EXHAUSTED: Answer(429, _NOT_RUN, Retry.LATER),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.NO_TARGET: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.TARGET_FULL: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.TARGET_DRAINING: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.TARGET_WITHDRAWN: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.STALE_ORDER: Answer(409, _NOT_RUN, Retry.NO),
    ErrorKind.STALE_INCARNATION: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.NOT_READY: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.PLATFORM_UNAVAILABLE: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.IN_PROGRESS: Answer(409, _MAY_HAVE_RUN, Retry.SAME_KEY),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, _MAY_HAVE_RUN, Retry.SAME_KEY),
    ErrorKind.ANSWER_INCOMPLETE: Answer(502, _MAY_HAVE_RUN, Retry.LATER),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, _MAY_HAVE_RUN, Retry.LATER),
    ErrorKind.ENGINE_FAILED: Answer(502, _MAY_HAVE_RUN, Retry.LATER),
    ErrorKind.PROMPT_HELD: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.ENTRY_STOPPING: Answer(503, _NOT_RUN, Retry.LATER),
    ErrorKind.SLOW_SENDER: Answer(408, _NOT_RUN, Retry.LATER),
    ErrorKind.PROTOCOL_VERSION: Answer(426, _NOT_RUN, Retry.NO),
    ErrorKind.BAD_FRAME: Answer(400, _NOT_RUN, Retry.NO),
    ErrorKind.INTERNAL: Answer(500, _MAY_HAVE_RUN, Retry.SAME_KEY),
}


NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that by themselves tell callers of the direct entry that a call has
not run and will not run. The other statuses in ANSWERS do not, even where the
execution is NOT_RUN."""


class Refusal(Exception):
    """A call, a frame or a command failed with an error kind.

    :param kind: determines the answer.
    :param message: one sentence for people: what was received and what to do.
    :param retry_after_s: seconds after which a retry is useful, if known.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f'{kind.value}: {message}')
        self.kind = kind
        self.message = message
        self.retry_after_s = retry_after_s

    @property
    def answer(self) -> Answer:
        """Return the answer that :data:`ANSWERS` gives for the kind."""
        return ANSWERS[self.kind]


def kind_from_wire(name: str | None) -> ErrorKind:
    """Return the kind named *name*, or INTERNAL if the name is unknown.

    A newer peer may send a kind that this version does not have.
    """
    try:
        return ErrorKind(name)
    except ValueError:
        return ErrorKind.INTERNAL
