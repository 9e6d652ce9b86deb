"""Duties that the coordinator of a large group gives to some of its ranks."""

from __future__ import annotations

import dataclasses
import itertools
import math
from collections.abc import Collection, Mapping, Sequence

from ...datagram import endpoint, messages
from . import packing

MIN_STANDBYS = 6
"""Number of ranks, at least, that get all statuses in a large group."""

SMALL_GROUP_SIZE = 16
"""Size up to which all ranks are on standby."""


@dataclasses.dataclass(frozen=True, slots=True)
class Duties:
    """Decoded roster of a coordinator.

    :ivar standbys: IP addresses of the standby ranks, by rank.
    :ivar collectors: IP addresses of the ranks that add demand up, by rank.
    :ivar address: address of the coordinator's engine. An agent that starts
        later hears no status of the coordinator.
    """

    term: int
    standbys: Mapping[int, str]
    collectors: Mapping[int, str]
    address: str = ''


def encode(
    intent: messages.Intent,
    standbys: Mapping[int, str],
    collectors: Mapping[int, str],
    address: str,
) -> messages.Roster:
    """Return the message; both mappings hold IP addresses by rank.

    :param intent: present intent of the coordinator.
    :param address: address of the coordinator's engine.
    """
    return messages.Roster(
        term=intent.term,
        group=intent.group,
        epoch=intent.epoch,
        standby_ranks=packing.pack_numbers(standbys),
        standby_ips=endpoint.pack_ips(standbys.values()),
        collector_ranks=packing.pack_numbers(collectors),
        collector_ips=endpoint.pack_ips(collectors.values()),
        address=address,
    )


def decode(message: messages.Roster) -> Duties:
    """Return the duties; raises ValueError."""
    return Duties(
        message.term,
        _by_rank(message.standby_ranks, message.standby_ips),
        _by_rank(message.collector_ranks, message.collector_ips),
        message.address,
    )


def choose_standbys(
    by_data_centre: Sequence[Sequence[int]], live: Collection[int]
) -> list[int]:
    """Return live ranks, one of each data centre after the other.

    :param by_data_centre: the known ranks of each data centre.
    """
    if sum(map(len, by_data_centre)) <= SMALL_GROUP_SIZE:
        return sorted(itertools.chain(*by_data_centre))
    turns = itertools.zip_longest(
        *([n for n in ranks if n in live] for ranks in by_data_centre)
    )
    ranks = [n for n in itertools.chain(*turns) if n is not None]
    return ranks[: max(MIN_STANDBYS, len(by_data_centre))]


def choose_collectors(
    by_data_centre: Sequence[Sequence[int]],
    size: int,
    live: Collection[int],
    coordinator: int,
) -> list[int]:
    """Return ranks that add demand up, in proportion to each data centre.

    The coordinator is the last choice, since its link carries the sums.

    :param by_data_centre: the known ranks of each data centre.
    :param size: number of ranks for which one of them adds up.
    """
    chosen = []
    for ranks in by_data_centre:
        able = sorted(
            (n for n in ranks if n in live), key=lambda n: n == coordinator
        )
        chosen += able[: math.ceil(len(ranks) / size)]
    return chosen


def _by_rank(ranks: bytes, ips: bytes) -> dict[int, str]:
    return dict(
        zip(
            packing.unpack_numbers(ranks),
            endpoint.unpack_ips(ips),
            strict=True,
        )
    )
