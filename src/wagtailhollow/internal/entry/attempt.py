"""An attempt of a call at one target, and its failure."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from typing import TYPE_CHECKING

from ... import errors
from ..routing import policy
from . import call as call_module

if TYPE_CHECKING:
    from ..wire.gen import ttypes


class Phase(enum.Enum):
    """Phase in which an attempt failed; decides whether a retry is allowed.

    REFUSED: the call certainly did not run, because the target rejected it or
    it was not sent. SENT: it may have run, and another attempt can still give
    the whole answer, because no part of one was sent to the caller or because
    the stream can be resumed. ANSWERING: a part of the answer was sent and no
    other attempt can complete it.
    """

    REFUSED = 'refused'
    SENT = 'sent'
    ANSWERING = 'answering'


class AttemptFailed(Exception):
    """An attempt ended without a complete answer.

    :ivar is_ended: whether the agent has certainly ended the call or never
        started it; if not, the call has to be cancelled at the agent.
    """

    def __init__(
        self, phase: Phase, refusal: errors.Refusal, is_ended: bool = False
    ) -> None:
        super().__init__(str(refusal))
        self.phase = phase
        self.refusal = refusal
        self.is_ended = is_ended


@dataclasses.dataclass(frozen=True)
class Attempt:
    """Parameters of one attempt.

    :ivar number: unique among the attempts and resumptions of a call.
    :ivar can_be_replaced: returns whether another attempt could follow now,
        if this one was given up after the call was sent.
    """

    call: call_module.Call
    candidate: policy.Candidate
    incarnation: int
    table_version: int
    number: int
    claim: ttypes.ClaimTicket | None = None
    can_be_replaced: Callable[[], bool] = lambda: True
