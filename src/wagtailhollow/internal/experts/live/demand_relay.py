"""Sums the demand for experts on its way to the coordinator of a group.

The demand of one rank takes as many bytes as there are experts, so the link of
a coordinator cannot carry that of each rank often enough. The ranks are
therefore divided into parts. One rank of a part, the collector, adds the
counts up and sends the sum, which takes the same space.
"""

from __future__ import annotations

import math
import operator
import time
from collections.abc import Callable, Iterable

from ...datagram import messages
from ...observability import decisions
from . import packing

LEAST_PERIOD_S = 0.2
"""Least period of demand messages."""

LINK_SHARE = 0.25
"""Largest share of a link's bandwidth that incoming demand may take."""

OVERHEAD_BYTES = 60
"""Headers and fields of a demand message besides its counts."""

MAX_AGE_PERIODS = 3.0
"""Age, in periods, from which counts are left out of a sum."""


def part_size(ranks: int, message_bytes: int, link_bytes_per_s: float) -> int:
    """Return the number of ranks of a part; with 1 there are no sums.

    Each rank sends to the coordinator itself if the link of that can carry it.
    Otherwise the parts are as large as there are parts, which divides the
    load evenly between the links of the two levels.
    """
    if ranks * message_bytes <= LINK_SHARE * link_bytes_per_s * LEAST_PERIOD_S:
        return 1
    return math.ceil(math.sqrt(ranks))


def period_s(ranks: int, message_bytes: int, link_bytes_per_s: float) -> float:
    """Return the period of demand messages on both levels."""
    size = part_size(ranks, message_bytes, link_bytes_per_s)
    received = max(size, math.ceil(ranks / size))
    return max(
        LEAST_PERIOD_S,
        received * message_bytes / (LINK_SHARE * link_bytes_per_s),
    )


class DemandRelay:
    """Counts that this agent has received, of ranks and of parts."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._by_rank: dict[int, tuple[float, messages.ExpertDemand]] = {}
        self._sums: dict[int, tuple[float, messages.ExpertDemand]] = {}

    def record(self, message: messages.ExpertDemand) -> None:
        """Record a message, which replaces the sender's last one."""
        store = self._sums if message.is_sum else self._by_rank
        store[message.rank] = (self._clock(), message)

    def part_sum(
        self,
        own: messages.ExpertDemand,
        includes_own: bool,
        max_age_s: float,
    ) -> messages.ExpertDemand | None:
        """Return the sum of the counts received, None if there are none.

        Another rank may send its counts here although this agent would not
        choose itself, since the views of the group differ for a moment.

        :param includes_own: whether to add this rank's own counts.
        """
        rows = [
            message
            for message in self._recent(
                self._by_rank, own.group, own.epoch, max_age_s
            )
            if message.rank != own.rank
        ] + [own] * includes_own
        if not rows:
            return None
        return messages.ExpertDemand(
            group=own.group,
            epoch=own.epoch,
            rank=own.rank,
            is_sum=True,
            ranks=len(rows),
            counts=packing.pack_counts(_total(rows)),
        )

    def total(self, group: str, epoch: int, max_age_s: float) -> list[float]:
        """Return the counts of all parts together; empty if there are none."""
        return _total(self._recent(self._sums, group, epoch, max_age_s))

    def _recent(
        self,
        rows: dict[int, tuple[float, messages.ExpertDemand]],
        group: str,
        epoch: int,
        max_age_s: float,
    ) -> list[messages.ExpertDemand]:
        oldest_s = self._clock() - max_age_s
        return [
            message
            for received_s, message in rows.values()
            if received_s >= oldest_s
            and (message.group, message.epoch) == (group, epoch)
        ]


def _total(rows: Iterable[messages.ExpertDemand]) -> list[float]:
    """Add counts up, without those that are unreadable or do not fit."""
    total: list[float] = []
    for row in rows:
        try:
            counts = packing.unpack_counts(row.counts)
        except ValueError as exc:
            decisions.log('demand_unreadable', rank=row.rank, reason=str(exc))
            continue
        if not total:
            total = counts
        elif len(counts) == len(total):
            total = list(map(operator.add, total, counts))
    return total
