"""What an agent knows of the other ranks of its group, and who coordinates."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Collection

from ...datagram import endpoint, messages
from . import model, roster

AGENT_TIMEOUT_S = 0.7
"""Time without a status after which an agent counts as lost: two statuses to
the whole group, and then some."""

COORDINATOR_TIMEOUT_S = 0.3
"""Time without an intent after which the coordinator counts as lost during a
switch: three intent periods. Shorter than :data:`AGENT_TIMEOUT_S` because the
group may be held."""

TERM_STRIDE = 1 << 16
"""A term is a multiple of this plus the coordinator's rank, so that terms of
different ranks differ. Ranks are 16-bit numbers in messages."""

STANDBY_TIMEOUT_S = 2.5
"""Age of the last roster from which a rank that is not on standby may become
coordinator: the time-out of the coordinator, that of a standby rank which does
not take over, and the time to hear from all ranks."""

_SWITCH_PHASES = frozenset(
    {
        model.Phase.HOLD,
        model.Phase.ARM,
        model.Phase.ABORT,
        model.Phase.RELEASE,
    }
)

Status = messages.RankStatus


class GroupView:
    """Last known status of each rank in this agent's group.

    In a large group the statuses of all ranks reach only the coordinator and
    the standby ranks of its roster; the others hear from all ranks when the
    coordinator is lost.

    :ivar changed: set whenever a status arrives.
    :ivar roster: duties that the coordinator has given, or None.
    :ivar addresses: engine address of every rank that has been heard, by rank.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._last_statuses: dict[int, tuple[float, Status]] = {}
        self._intent_s = 0.0
        self._intent: messages.Intent | None = None
        self._term = 0
        self._term_s = 0.0
        self.roster: roster.Duties | None = None
        self._roster_s = 0.0
        self.changed = asyncio.Event()
        self.addresses: dict[int, str] = {}

    def record_status(self, status: Status) -> None:
        """Store a status that has just arrived.

        Most messages omit the experts; the last known ones stay valid as long
        as the rank keeps its map.
        """
        _, last = self._last_statuses.get(status.rank, (0.0, None))
        if last is not None and _have_same_map(last, status):
            status.experts = status.experts or last.experts
        self._last_statuses[status.rank] = (self._clock(), status)
        self._record_term(status.term)
        if status.address:
            self.addresses[status.rank] = status.address
        self.changed.set()

    def record_intent(self, intent: messages.Intent) -> None:
        """Record an intent as a sign of life of its coordinator."""
        if self._intent is not None and intent.term < self._intent.term:
            return
        self._record_term(intent.term)
        now_s = self._clock()
        if self._intent is not None and intent.term > self._intent.term:
            # The last status of the lost predecessor may not have expired yet;
            # without it, the predecessor does not count as alive.
            self._last_statuses.pop(self._lost_coordinator(now_s), None)
        self._intent = intent
        self._intent_s = now_s

    def record_roster(self, duties: roster.Duties) -> None:
        """Record the coordinator's roster."""
        if self.roster is None or duties.term >= self.roster.term:
            self.roster, self._roster_s = duties, self._clock()
            if duties.address:
                self.addresses[duties.term % TERM_STRIDE] = duties.address

    def recent_roster(self) -> roster.Duties | None:
        """Return the roster while its coordinator is alive, else None."""
        duties = self.roster
        if duties is None or not self._is_intent_recent(duties.term):
            return None
        return duties

    def recent_statuses(self, own: Status) -> dict[int, Status]:
        """Return the last statuses of the ranks that are alive, by rank.

        During a switch, a coordinator that sends no intents is dropped after
        the shorter :data:`COORDINATOR_TIMEOUT_S`.
        """
        now_s = self._clock()
        lost = self._lost_coordinator(now_s)
        recent = {
            number: status
            for number, (received_s, status) in self._last_statuses.items()
            if now_s - received_s <= AGENT_TIMEOUT_S
            and status.group == own.group
            and number != lost
        }
        return recent | {own.rank: own}

    def _lost_coordinator(self, now_s: float) -> int | None:
        intent = self._intent
        if (
            intent is None
            or intent.phase not in _SWITCH_PHASES
            or now_s - self._intent_s <= COORDINATOR_TIMEOUT_S
        ):
            return None
        return intent.term % TERM_STRIDE

    def coordinator_rank(self, own: Status) -> int:
        """Return the current coordinator or the rank that has to take over.

        An agent that resumes after a pause may hear from other ranks before it
        hears from the coordinator elected meanwhile. It therefore waits for
        the coordinator of a term that it has only just learnt of.
        """
        heard = self.recent_statuses(own)
        highest = max(status.term for status in heard.values())
        coordinator = highest % TERM_STRIDE
        is_term_recent = (
            highest == self._term
            and self._clock() - self._term_s <= AGENT_TIMEOUT_S
            and coordinator != self._lost_coordinator(self._clock())
        )
        if highest and (
            coordinator in heard
            or is_term_recent
            or self._is_intent_recent(highest)
        ):
            return coordinator
        return self._successor(heard.keys())

    def _successor(self, heard: Collection[int]) -> int:
        """Return the lowest live rank, at first among the standby ranks.

        A rank that is not on standby may hear only itself. It takes over after
        it has had the time to hear from the others.
        """
        duties = self.roster
        if (
            duties is None
            or not duties.standbys
            or self._clock() - self._roster_s > STANDBY_TIMEOUT_S
        ):
            return min(heard)
        live = duties.standbys.keys() & heard
        return min(live or duties.standbys)

    def _is_intent_recent(self, term: int) -> bool:
        """Return whether the coordinator of a term has just sent an intent.

        Its statuses may be lost while its intents arrive.
        """
        now_s = self._clock()
        return (
            self._intent is not None
            and self._intent.term == term
            and now_s - self._intent_s <= AGENT_TIMEOUT_S
            and self._lost_coordinator(now_s) is None
        )

    def _record_term(self, term: int) -> None:
        if term > self._term:
            self._term, self._term_s = term, self._clock()

    def ips(self) -> set[str]:
        """Return the IP addresses of all ranks that were ever heard."""
        return set(map(endpoint.ip_of, self.addresses.values()))

    def coordinator_ip(self, own: Status) -> str:
        """Return the IP address of the coordinator, empty if not known."""
        return endpoint.ip_of(
            self.addresses.get(self.coordinator_rank(own), '')
        )

    def highest_term(self) -> int:
        """Return the highest term that any rank has promised to obey."""
        return max(
            (status.term for _, status in self._last_statuses.values()),
            default=0,
        )


def _have_same_map(one: Status, other: Status) -> bool:
    return (one.group, one.epoch, one.map_version) == (
        other.group,
        other.epoch,
        other.map_version,
    )
