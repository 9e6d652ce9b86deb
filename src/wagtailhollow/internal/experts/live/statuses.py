"""What the coordinator waits for in the statuses of ranks."""

from __future__ import annotations

from ...datagram import messages

INITIAL_VERSION = 0
"""Version of the map with which a group is formed."""


def obeys_term(status: messages.RankStatus) -> bool:
    """Return True: the statuses are only those of ranks that obey the term.

    See :meth:`Coordinator._statuses`.
    """
    return True


def has_experts(status: messages.RankStatus) -> bool:
    """Return whether the rank has told its experts."""
    return bool(status.experts)


def is_settled(status: messages.RankStatus) -> bool:
    """Return whether the rank is not in a switch."""
    return not is_unsettled(status)


def is_unsettled(status: messages.RankStatus) -> bool:
    """Return whether the rank is held or armed."""
    return (
        status.held_step != messages.UNSET
        or status.armed_version != messages.UNSET
    )


def has_had_map(status: messages.RankStatus) -> bool:
    """Return whether the rank has prepared a map in this epoch."""
    return (
        max(status.map_version, status.prepared, status.ordered_version)
        > INITIAL_VERSION
    )


def may_be_armed(status: messages.RankStatus) -> bool:
    """Return whether an order to arm a later version would be accepted."""
    return max(status.prepared, status.ordered_version) > status.map_version
