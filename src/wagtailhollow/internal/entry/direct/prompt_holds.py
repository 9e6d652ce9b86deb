"""Holds back calls whose prompt crashes the targets that answer it.

A part of a prompt can crash each target that begins an answer on it. Calls
that a target had begun to answer, without a first event, when it ended are
suspects. The parts of a suspect that no target has answered yet are held: no
call that has all of them is sent to a target for some time.

Entries tell each other what they know, so that one crash is enough for all of
them. One that has seen an answer on a suspected part says so, which releases
it. After the time of a hold one call may try again, for all entries together.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import time
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import Any

from .... import errors
from ...datagram import messages
from ...observability import decisions
from . import routed_call

HOLD_S = 30.0
"""Time of a hold after one crash; it doubles with each further crash."""

MAX_HOLD_S = 3600.0

TRIAL_S = 5.0
"""Time given to a call that tries held parts again; all others are held."""

WEAK_CRASHES = 3
"""Crashes, with no answer on a part in between, after which the part is held
although the evidence of each is weak: the calls were not begun, or each of
their parts has been answered before."""

FORGET_S = 600.0
"""Time after the end of a hold at which it is dropped."""

MAX_HOLDS = 64
MAX_ANSWERED_PARTS = 8192
"""Parts that are remembered as answered, the last ones."""

MAX_WEAK_PARTS = 1024
MAX_EXPLAINED_CRASHES = 64

_SEPARATOR = ','
"""Separates parts in messages, as in the header that they come from."""

Parts = frozenset[str]


class Evidence(enum.IntEnum):
    """How much the end of a target says about a call that it had.

    NOT_BEGUN: the call had no head of an answer. ANSWERED_PARTS: it had one,
    but all of its parts have been answered in other calls. BEGUN: it had one,
    and the named parts have never been answered.
    """

    NOT_BEGUN = 0
    ANSWERED_PARTS = 1
    BEGUN = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Hold:
    """Parts of prompts that no call may have together.

    :ivar crashes: number of crashes that the hold explains.
    :ivar crash_ids: those of them that this entry has heard of.
    :ivar until_s: end of the hold, by the clock of the holds.
    :ivar is_own: whether a call of this entry was the first suspect.
    :ivar trial_call_id: call that tries the parts again, or empty.
    """

    parts: Parts
    crashes: int
    crash_ids: frozenset[str]
    until_s: float
    is_own: bool = False
    trial_call_id: str = ''

    def holds(self, call: routed_call.RoutedCall) -> bool:
        """Return whether a call has all the parts and is not the trial."""
        return self.trial_call_id != call.call_id and self.parts.issubset(
            call.prompt_parts
        )


def hold_s(crashes: int) -> float:
    """Return the time of a hold that explains a number of crashes."""
    return min(HOLD_S * 2 ** min(crashes - 1, 16), MAX_HOLD_S)


class PromptHolds:
    """What one entry knows of the parts of prompts, by service.

    :ivar listeners: called with the service and a hold that is new, or that
        another entry has repeated.
    """

    def __init__(
        self,
        broadcast: Callable[[Any], None],
        reply: Callable[[Any, str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an empty record.

        :param broadcast: sends a message to all other entries.
        :param reply: sends a message to the entry at an IP address.
        """
        self._broadcast = broadcast
        self._reply = reply
        self._clock = clock
        self.listeners: list[Callable[[str, Hold], None]] = []
        self._holds: dict[str, dict[Parts, Hold]] = {}
        self._answered: dict[tuple[str, str], None] = {}
        self._weak: dict[tuple[str, str], set[str]] = {}
        self._explained: collections.deque[str] = collections.deque(
            maxlen=MAX_EXPLAINED_CRASHES
        )

    def screen(self, call: routed_call.RoutedCall) -> None:
        """Raise Refusal if the parts of the call are held."""
        now_s = self._clock()
        for hold in self._matching(call):
            if now_s < hold.until_s:
                raise errors.Refusal(
                    errors.ErrorKind.PROMPT_HELD,
                    'targets crashed while they answered calls with the parts '
                    f'{_joined(hold.parts)} of this prompt',
                    retry_after_s=hold.until_s - now_s,
                )

    def admit(self, call: routed_call.RoutedCall) -> None:
        """Screen a call right before it is sent.

        If the time of a hold on it is over, the call becomes the trial, and
        the hold goes on for all others.

        :raises Refusal: see :meth:`screen`.
        """
        self.screen(call)
        now_s = self._clock()
        for hold in self._matching(call):
            if now_s < hold.until_s:
                continue
            hold = dataclasses.replace(
                hold, until_s=now_s + TRIAL_S, trial_call_id=call.call_id
            )
            self._holds[call.service_name][hold.parts] = hold
            self._broadcast(self._message(call.service_name, hold))
            decisions.log(
                'prompt_tried',
                request_id=call.call_id,
                service=call.service_name,
                parts=sorted(hold.parts),
            )

    def record_answer(self, service: str, parts: Iterable[str]) -> None:
        """Record that a target has written an answer on some parts."""
        doubted = self._mark_answered(service, parts)
        if doubted:
            self._broadcast(
                messages.PromptAnswered(
                    service=service, parts=_joined(doubted)
                )
            )

    def record_crash(
        self, service: str, parts: Sequence[str], crash_id: str, is_begun: bool
    ) -> None:
        """Record a call that a target had, without an event, when it ended.

        :param crash_id: the same for all calls that ended with that target.
        :param is_begun: whether the call had the head of an answer.
        """
        unanswered = self._unanswered(service, parts)
        if is_begun:
            evidence = (
                Evidence.BEGUN if unanswered else Evidence.ANSWERED_PARTS
            )
        else:
            evidence = Evidence.NOT_BEGUN
        suspected = (
            frozenset(parts)
            if evidence is Evidence.ANSWERED_PARTS
            else unanswered
        )
        if not suspected:
            return
        self._add_evidence(service, suspected, crash_id, evidence, True)
        self._broadcast(
            messages.PromptSuspect(
                service=service,
                parts=_joined(suspected),
                crash_id=crash_id,
                evidence=evidence.value,
            )
        )

    def on_suspect(self, message: messages.PromptSuspect, ip: str) -> None:
        """Add the evidence of another entry."""
        try:
            evidence = Evidence(message.evidence)
        except ValueError as exc:
            decisions.log('prompt_unreadable', ip=ip, reason=str(exc))
            return
        parts = _split(message.parts)
        if evidence is not Evidence.ANSWERED_PARTS:
            parts = self._without_answered(message.service, parts, ip)
        if parts:
            self._add_evidence(
                message.service, parts, message.crash_id, evidence, False
            )

    def on_hold(self, message: messages.PromptHold, ip: str) -> None:
        """Adopt a hold of another entry."""
        service = message.service
        parts = self._without_answered(service, _split(message.parts), ip)
        holds = self._holds.get(service, {})
        if not parts or any(known < parts for known in holds):
            return
        left_s = min(max(message.left_ms / 1000, 0.0), MAX_HOLD_S)
        known = holds.get(parts) or Hold(parts, 0, frozenset(), 0.0)
        self._put(
            service,
            dataclasses.replace(
                known,
                crashes=max(known.crashes, message.crashes),
                until_s=max(known.until_s, self._clock() + left_s),
            ),
        )

    def on_answered(self, message: messages.PromptAnswered, ip: str) -> None:
        """Record answers that another entry has seen."""
        service = message.service
        parts = _split(message.parts)
        is_own = any(
            hold.is_own and hold.parts & parts
            for hold in self._holds.get(service, {}).values()
        )
        self._mark_answered(service, parts)
        if is_own:
            # The others have the suspicion from this entry.
            self._broadcast(message)

    def on_wanted(self, message: messages.PromptHoldsWanted, ip: str) -> None:
        """Send all holds in force to an entry that has started."""
        self.repeat(lambda hold: self._reply(hold, ip))

    def repeat(self, send: Callable[[Any], None]) -> None:
        """Send all holds in force, and drop those that ended long ago.

        :param send: sends a message to some of the other entries.
        """
        now_s = self._clock()
        for service, holds in self._holds.items():
            for hold in list(holds.values()):
                if now_s < hold.until_s:
                    send(self._message(service, hold))
                elif now_s > hold.until_s + FORGET_S:
                    del holds[hold.parts]

    def _matching(self, call: routed_call.RoutedCall) -> list[Hold]:
        holds = self._holds.get(call.service_name)
        if not holds:
            return []
        return [hold for hold in holds.values() if hold.holds(call)]

    def _unanswered(self, service: str, parts: Iterable[str]) -> Parts:
        return frozenset(
            part for part in parts if (service, part) not in self._answered
        )

    def _without_answered(self, service: str, parts: Parts, ip: str) -> Parts:
        """Return the unanswered parts; tell the sender of the others."""
        unanswered = self._unanswered(service, parts)
        if unanswered != parts:
            answered = _joined(parts - unanswered)
            self._reply(
                messages.PromptAnswered(service=service, parts=answered), ip
            )
        return unanswered

    def _mark_answered(self, service: str, parts: Iterable[str]) -> Parts:
        """Record answered parts; return those that were in doubt."""
        parts = frozenset(parts)
        for part in parts:
            # The last one moves to the end.
            self._answered.pop((service, part), None)
            self._answered[service, part] = None
        while len(self._answered) > MAX_ANSWERED_PARTS:
            del self._answered[next(iter(self._answered))]
        doubted = {part for part in parts if (service, part) in self._weak}
        for part in doubted:
            del self._weak[service, part]
        for hold in list(self._holds.get(service, {}).values()):
            if hold.parts & parts:
                doubted |= hold.parts & parts
                self._narrow(service, hold, hold.parts - parts)
        return frozenset(doubted)

    def _narrow(self, service: str, hold: Hold, parts: Parts) -> None:
        del self._holds[service][hold.parts]
        if parts:
            self._put(service, dataclasses.replace(hold, parts=parts))
        else:
            decisions.log(
                'prompt_released', service=service, parts=sorted(hold.parts)
            )

    def _add_evidence(
        self,
        service: str,
        parts: Parts,
        crash_id: str,
        evidence: Evidence,
        is_own: bool,
    ) -> None:
        if evidence is Evidence.BEGUN:
            self._explain(crash_id)
            self._suspect(service, parts, crash_id, is_own)
        elif crash_id not in self._explained:
            for part in parts:
                self._weak.setdefault((service, part), set()).add(crash_id)
            while len(self._weak) > MAX_WEAK_PARTS:
                del self._weak[next(iter(self._weak))]
            repeated = frozenset(
                part
                for part in parts
                if len(self._weak.get((service, part), ())) >= WEAK_CRASHES
            )
            if repeated:
                for part in repeated:
                    self._answered.pop((service, part), None)
                self._suspect(service, repeated, crash_id, is_own)

    def _explain(self, crash_id: str) -> None:
        """Drop the weak evidence of a crash for which there is a suspect."""
        self._explained.append(crash_id)
        for key, crash_ids in list(self._weak.items()):
            crash_ids.discard(crash_id)
            if not crash_ids:
                del self._weak[key]

    def _suspect(
        self, service: str, parts: Parts, crash_id: str, is_own: bool
    ) -> None:
        """Hold parts; a hold that explains the crash as well is narrowed."""
        holds = self._holds.setdefault(service, {})
        is_explained = False
        for hold in list(holds.values()):
            common = hold.parts & parts
            if crash_id in hold.crash_ids:
                is_explained |= hold.parts == parts
            elif common:
                is_explained = True
                del holds[hold.parts]
                self._extend(service, hold, common, crash_id)
        if not is_explained:
            hold = Hold(parts, 0, frozenset(), 0.0, is_own)
            self._extend(service, hold, parts, crash_id)

    def _extend(
        self, service: str, hold: Hold, parts: Parts, crash_id: str
    ) -> None:
        crashes = hold.crashes + 1
        self._put(
            service,
            dataclasses.replace(
                hold,
                parts=parts,
                crashes=crashes,
                crash_ids=hold.crash_ids | {crash_id},
                until_s=self._clock() + hold_s(crashes),
                trial_call_id='',
            ),
        )
        decisions.log(
            'prompt_held',
            service=service,
            parts=sorted(parts),
            crash=crash_id,
            crashes=crashes,
            hold_s=hold_s(crashes),
        )

    def _put(self, service: str, hold: Hold) -> None:
        """Add or replace a hold; it covers those on more parts."""
        holds = self._holds.setdefault(service, {})
        for parts in [parts for parts in holds if hold.parts < parts]:
            del holds[parts]
        holds[hold.parts] = hold
        while len(holds) > MAX_HOLDS:
            first = min(holds.values(), key=lambda item: item.until_s)
            del holds[first.parts]
        for listen in self.listeners:
            listen(service, hold)

    def _message(self, service: str, hold: Hold) -> messages.PromptHold:
        left_s = max(0.0, hold.until_s - self._clock())
        return messages.PromptHold(
            service=service,
            parts=_joined(hold.parts),
            crashes=hold.crashes,
            left_ms=round(left_s * 1000),
        )


def _joined(parts: Collection[str]) -> str:
    return _SEPARATOR.join(sorted(parts))


def _split(text: str) -> Parts:
    return frozenset(filter(None, text.split(_SEPARATOR)))
