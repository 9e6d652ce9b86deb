"""Which holds of steps a switch relies on, and which are obsolete.

An order to hold a step or to release it names the step only, and may be
executed after newer orders. These rules keep a delayed one from affecting a
later switch:

* each switch uses a step above those of all orders that may still be executed,
  so that no delayed release ends its hold;
* a hold of an earlier step is obsolete: the rank that finds one in its
  engine's report releases it;
* a switch releases its step at one rank, so that of two holds at different
  ranks one stays while another coordinator undoes the switch.

``proof/live_switch.py`` checks them.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

from ...datagram import messages
from . import lookahead, model
from . import statuses as rank_statuses

Status = messages.RankStatus


def is_obsolete(intent: messages.Intent, report: model.RankReport) -> bool:
    """Return whether a rank has to release the step that its engine holds.

    In a switch, or while one is undone, the intent's step is the one in
    question. Otherwise it is the last one of which no hold is relied on.
    """
    held = report.held_step
    if held is None or intent.step == messages.UNSET:
        return False
    if held < intent.step:
        return True
    if intent.phase == model.Phase.HOLD:
        # An engine holds one step at a time.
        return held > intent.step and intent.holder == report.rank
    if intent.phase in (model.Phase.IDLE, model.Phase.PREPARE):
        return held == intent.step
    return (
        held == intent.step
        and intent.phase == model.Phase.RELEASE
        and intent.holder in (messages.UNSET, report.rank)
    )


def step_to_undo(statuses: Collection[Status], begun: int) -> int | None:
    """Return the step of an unfinished switch, None if there is none.

    If no rank is armed, orders to arm may still be executed, and their step is
    the last one held: other holds are those of earlier switches.
    """
    armed = [
        s.armed_step
        for s in statuses
        if s.armed_version != messages.UNSET and s.armed_step > begun
    ]
    held = [s.held_step for s in statuses if s.held_step > begun]
    if armed:
        return min(armed)
    return max(held, default=None)


def choose_second_holder(
    statuses: Mapping[int, Status],
    heard: Collection[int],
    own_rank: int,
    step: int,
    rng: random.Random,
) -> int | None:
    """Return the rank at which a step is held beside the own rank.

    A rank that holds the step already comes first, then those whose agents are
    heard. The choice is random, so that another rank is tried if the engine of
    this one does not answer orders.

    :param heard: ranks whose agents are heard.
    :return: None if no rank can hold the step.
    """
    others = [
        status
        for number, status in statuses.items()
        if number != own_rank and status.held_step in (messages.UNSET, step)
    ]
    preferred = (
        [s.rank for s in others if s.held_step == step]
        or [s.rank for s in others if s.rank in heard]
        or [s.rank for s in others]
    )
    return rng.choice(preferred) if preferred else None


class HeldSteps:
    """The steps that one coordinator may use for its switches.

    :ivar obsolete_step: last step of which no hold is relied on; unset until
        what an earlier coordinator left unfinished has been resolved.
    """

    def __init__(self, statuses: Iterable[Status] = ()) -> None:
        """Begin a term.

        :param statuses: of all ranks, once they obey the term. No order of an
            earlier coordinator names a step further ahead than
            :data:`lookahead.MAX_LOOKAHEAD_STEPS`, and none is remembered.
        """
        rows = list(statuses)
        self._last_used = max((status.step for status in rows), default=0)
        # Steps are held only after all ranks have prepared a map.
        if all(map(rank_statuses.has_had_map, rows)):
            self._last_used += lookahead.MAX_LOOKAHEAD_STEPS
        self.obsolete_step = messages.UNSET

    def has_free_step(self, begun: int) -> bool:
        """Return whether a switch may begin after the step *begun*.

        If not, the group is idle or has just got a new coordinator, and its
        passes make room.
        """
        return self._last_used < begun + lookahead.MAX_LOOKAHEAD_STEPS

    def use_step(self, begun: int, distance: int) -> int:
        """Return the step of the next switch, above all that were used."""
        self._last_used = max(begun + distance, self._last_used + 1)
        return self._last_used

    def settle(self) -> None:
        """Record that no hold of any used step is relied on."""
        self.obsolete_step = self._last_used

    def reopen(self) -> None:
        """Record that a switch has to be resolved."""
        self.obsolete_step = messages.UNSET

    def is_unresolved(self, statuses: Iterable[Status]) -> bool:
        """Return whether there may be a switch that has to be undone."""
        return self.obsolete_step == messages.UNSET or any(
            rank_statuses.is_unsettled(status)
            and not self.has_only_obsolete_hold(status)
            for status in statuses
        )

    def has_only_obsolete_hold(self, status: Status) -> bool:
        """Return whether a rank holds an obsolete step and is not armed."""
        return (
            status.armed_version == messages.UNSET
            and messages.UNSET < status.held_step <= self.obsolete_step
        )
