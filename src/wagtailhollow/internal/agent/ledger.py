"""In-memory record of the claimed calls that this agent process started.

The answer "not run" relies on the ledger: a nonce is either recorded as
started, or it gets a tombstone that prevents a later start. A restart of the
agent loses the ledger; the incarnation number in each claimed dispatch shows
this.
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Mapping

from ... import errors
from ..wire.gen import ttypes

MAX_TICKET_AGE_MS = 30_000
"""A claimed dispatch that is older by the agent's clock is refused."""

TOMBSTONE_RETENTION_MS = 2 * MAX_TICKET_AGE_MS
"""Longer than the maximum age of a ticket, so that a tombstone is kept for as
long as its dispatch can arrive."""

RECORD_RETENTION_MS = 600_000

MAX_RECORDED_BODY_BYTES = 1_000_000
"""A longer body is not recorded. With the headers it has to fit into the frame
of a ``CallOutcome``, of at most 2 MiB."""

MAX_TOTAL_BODY_BYTES = 8_000_000
"""Memory limit for all recorded bodies; the oldest are dropped first."""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The recorded answer to a finished call."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@dataclasses.dataclass
class _LedgerEntry:
    """State of one nonce: a tombstone, a started call or its outcome."""

    state: int
    changed_at_ms: int
    outcome: Outcome | None = None


class Ledger:
    """Records of started calls and tombstones, indexed by nonce."""

    def __init__(self, clock_ms=None) -> None:
        self._clock_ms = clock_ms or (lambda: time.monotonic_ns() // 1_000_000)
        self._entries: dict[str, _LedgerEntry] = {}
        self._body_bytes = 0

    def now_ms(self) -> int:
        """Return the time of the agent's clock, which heartbeats carry."""
        return self._clock_ms()

    def start(self, ticket: ttypes.ClaimTicket) -> None:
        """Record that the call is about to be sent to the target.

        :raises Refusal: STALE_ORDER if the ticket is too old or its nonce
            has a tombstone, IN_PROGRESS if the nonce was started before.
        """
        entry = self._entries.get(ticket.nonce)
        if entry is not None and entry.state != ttypes.OutcomeState.NOT_RUN:
            # Not STALE_ORDER, which means that the call was not run.
            raise errors.Refusal(
                errors.ErrorKind.IN_PROGRESS,
                'this dispatch was already started',
            )
        if entry is not None:
            raise errors.Refusal(
                errors.ErrorKind.STALE_ORDER, 'this dispatch was cancelled'
            )
        age_ms = self.now_ms() - ticket.issued_agent_clock_ms
        if not 0 <= age_ms <= MAX_TICKET_AGE_MS:
            raise errors.Refusal(
                errors.ErrorKind.STALE_ORDER,
                f'the dispatch is {age_ms} ms old; 0 to '
                f'{MAX_TICKET_AGE_MS} ms are allowed',
            )
        self._entries[ticket.nonce] = _LedgerEntry(
            ttypes.OutcomeState.IN_PROGRESS, self.now_ms()
        )

    def mark_not_run(self, ticket: ttypes.ClaimTicket) -> None:
        """Replace the record of a start by a tombstone.

        Allowed only if the target certainly did not start the call. It may
        have received and refused it.
        """
        self._entries[ticket.nonce] = _LedgerEntry(
            ttypes.OutcomeState.NOT_RUN, self.now_ms()
        )

    def finish(
        self, ticket: ttypes.ClaimTicket, outcome: Outcome | None
    ) -> None:
        """Record how the call ended.

        :param outcome: the answer; None if it is unknown whether the target
            executed the call.
        """
        state = (
            ttypes.OutcomeState.UNKNOWN
            if outcome is None
            else ttypes.OutcomeState.DONE
        )
        if outcome and len(outcome.body) > MAX_RECORDED_BODY_BYTES:
            outcome = None
        # Removed first, so that the records are ordered by the time at which
        # their calls finished and the oldest bodies are dropped first.
        self._entries.pop(ticket.nonce, None)
        self._entries[ticket.nonce] = _LedgerEntry(
            state, self.now_ms(), outcome
        )
        self._body_bytes += len(outcome.body) if outcome else 0
        self._drop_oldest_bodies()

    def cancel_if_not_started(
        self, ticket: ttypes.ClaimTicket
    ) -> ttypes.CallOutcome:
        """Return the state of the nonce; block it if it was not started.

        DONE without a status means that the answer was not kept, because it
        was too large or to free memory for later ones.
        """
        entry = self._entries.get(ticket.nonce)
        if entry is None:
            age_ms = self.now_ms() - ticket.issued_agent_clock_ms
            if age_ms > RECORD_RETENTION_MS:
                return ttypes.CallOutcome(ttypes.OutcomeState.UNKNOWN)
            self._entries[ticket.nonce] = _LedgerEntry(
                ttypes.OutcomeState.NOT_RUN, self.now_ms()
            )
            return ttypes.CallOutcome(ttypes.OutcomeState.NOT_RUN)
        if entry.outcome is None:
            return ttypes.CallOutcome(entry.state)
        return ttypes.CallOutcome(
            entry.state,
            entry.outcome.status,
            dict(entry.outcome.headers),
            entry.outcome.body,
        )

    def expire(self) -> None:
        """Drop records past their retention, except those of running calls."""
        now_ms = self.now_ms()
        self._entries = {
            nonce: entry
            for nonce, entry in self._entries.items()
            if now_ms - entry.changed_at_ms <= _retention_ms(entry)
        }
        self._body_bytes = sum(
            len(entry.outcome.body)
            for entry in self._entries.values()
            if entry.outcome is not None
        )

    def _drop_oldest_bodies(self) -> None:
        if self._body_bytes <= MAX_TOTAL_BODY_BYTES:
            return
        for entry in self._entries.values():
            if entry.outcome is not None:
                self._body_bytes -= len(entry.outcome.body)
                entry.outcome = None
            if self._body_bytes <= MAX_TOTAL_BODY_BYTES:
                return


def _retention_ms(entry: _LedgerEntry) -> float:
    if entry.state == ttypes.OutcomeState.NOT_RUN:
        return TOMBSTONE_RETENTION_MS
    if entry.state == ttypes.OutcomeState.IN_PROGRESS:
        return float('inf')
    return RECORD_RETENTION_MS
