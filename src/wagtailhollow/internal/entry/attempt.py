"""One attempt of a call at one target, and how it can fail."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from ... import errors
from ..routing import policy
from . import call as call_module

if TYPE_CHECKING:
    from ..wire.gen import ttypes


class Phase(enum.Enum):
    """How far a failed attempt got, which decides what may follow."""

    REFUSED = 'refused'
    SENT = 'sent'
    ANSWERING = 'answering'


class AttemptFailed(Exception):
    """An attempt ended without the whole answer.

    :ivar is_ended: whether the agent is known to have ended the call or
        never to have started it; if not, it has to be cancelled there.
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
    """What one attempt needs to know.

    :ivar number: differs for each attempt and each resumption of a call.
    """

    call: call_module.Call
    candidate: policy.Candidate
    incarnation: int
    table_version: int
    number: int
    claim: ttypes.ClaimTicket | None = None
