"""The order in which calls get places at targets."""

from __future__ import annotations

import dataclasses

PRIORITIES = 4
"""Distinct priorities. A target's queue has 10 levels: one for interrupted
streams, and two for each priority, in time and late."""

RESUMED_QUEUE_LEVEL = 0


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Standing:
    """The class of a call; the lower one goes first.

    A less urgent call never goes before a more urgent one of its service,
    also not if the latter is late: callers of urgent calls would otherwise be
    served less often than others in a shortage.

    :ivar level: see :func:`level_of`; 0 is the most urgent.
    :ivar is_late: whether the answer cannot begin within its objective.
    """

    level: int
    is_late: bool = False

    @property
    def queue_level(self) -> int:
        """Return the priority for the queue of a target; 0 goes first.

        There late calls of all priorities follow, as the queue is short and a
        call in time that waits behind a late one is late as well.
        """
        priority = self.level // PRIORITIES
        return RESUMED_QUEUE_LEVEL + 1 + priority + PRIORITIES * self.is_late


def level_of(priority: int, route_priority: int) -> int:
    """Return the level of a call, from 0 to ``PRIORITIES ** 2 - 1``.

    The priority of a call is that of its organisation, if it has one. The
    route's own decides between calls of the same priority.

    :param priority: configured priority, which has no upper limit.
    """
    return PRIORITIES * _bounded(priority) + _bounded(route_priority)


def _bounded(priority: int) -> int:
    return min(max(priority, 0), PRIORITIES - 1)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Rank:
    """Position of a waiting call; the lowest is next.

    Among calls of the same standing the newest goes first. A queue by arrival
    would serve each call just when it has become late, as soon as more calls
    arrive than find a place. Callers that were refused once go before others.

    :ivar is_first_try: whether the caller has not been refused before.
    :ivar age_s: time since the call arrived.
    """

    standing: Standing
    is_first_try: bool
    age_s: float
