"""This entry's share of limits that hold over all entries together.

Agents know the entries that subscribe to them, and tell the list to those that
ask. For each target all entries rank the list in the same order; the shares of
the ranks are whole numbers that add up to the target's limit, however many
entries there are. An entry that starts or stops changes the rank of the others
by one at most.
"""

from __future__ import annotations

import collections
import time
from collections.abc import Callable, Iterable

from ...membership import rendezvous

COUNT_WINDOW_S = 10.0
"""How long a number of entries counts: the default window of the retry budget,
in which an entry that has stopped may have spent its share."""

LIST_WINDOW_S = 3.0
"""How long a list of entries counts. Lists are asked for once a second."""

MIN_ASSUMED_ENTRIES = 16
"""Least number of entries that is assumed without a list."""

USED_SHARE = 0.8
"""Share of a limit that is used: lists differ for a moment when entries start
or stop, and a restarted entry has no record of what it has sent."""


class EntryShares:
    """Divides limits between the entries that agents list."""

    def __init__(
        self,
        ip: str,
        count_targets: Callable[[], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a view without lists.

        :param ip: address of this entry, as agents see it.
        :param count_targets: returns the number of registered targets. Until
            an agent has sent a list, there are assumed to be as many entries:
            a deployment has fewer entries than targets.
        """
        self._ip = ip
        self._count_targets = count_targets
        self._clock = clock
        self._lists: dict[str, tuple[float, frozenset[str]]] = {}
        self._members: frozenset[str] = frozenset()
        self._counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._ranks: dict[str, int] = {}

    def record_list(self, agent_ip: str, entries: Iterable[str]) -> None:
        """Record the entries that subscribe to an agent."""
        now_s = self._clock()
        self._lists[agent_ip] = (now_s, frozenset(entries) | {self._ip})
        self._lists = {
            ip: row
            for ip, row in self._lists.items()
            if now_s - row[0] <= LIST_WINDOW_S
        }
        # An agent that some entries cannot reach lists too few of them.
        members = frozenset().union(*(row for _, row in self._lists.values()))
        if members != self._members:
            self._members = members
            self._ranks.clear()
        self._counts.append((now_s, len(members)))
        while now_s - self._counts[0][0] > COUNT_WINDOW_S:
            self._counts.popleft()

    @property
    def others(self) -> frozenset[str]:
        """Return the addresses of the other entries that agents list."""
        return self._members - {self._ip}

    @property
    def has_list(self) -> bool:
        """Return whether an agent has sent a list."""
        return bool(self._members)

    def fraction(self) -> float:
        """Return the part of a limit that this entry may use."""
        if self._counts:
            return USED_SHARE / max(count for _, count in self._counts)
        return USED_SHARE / max(MIN_ASSUMED_ENTRIES, self._count_targets())

    def whole_part(self, limit: float, target: str) -> int:
        """Return this entry's part of a target's limit, a whole number.

        If there are more entries than the limit allows, some get none for this
        target and some for another one.
        """
        if not self._members:
            return int(limit * self.fraction())
        each, remainder = divmod(int(limit * USED_SHARE), len(self._members))
        return each + (self._rank(target) < remainder)

    def _rank(self, target: str) -> int:
        if target not in self._ranks:
            own = (rendezvous.score(target, self._ip), self._ip)
            self._ranks[target] = sum(
                (rendezvous.score(target, ip), ip) > own
                for ip in self._members
            )
        return self._ranks[target]
