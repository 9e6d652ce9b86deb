"""Elects the entries of a data centre that relay the platform's documents.

The relays are the two highest-ranked entries of the data centre that are live
in the host list and not absent, that is, without a connection for
SILENCE_LIMIT_S. Each entry determines them on its own, from the host list and
from its connections. While entries disagree, there may be an additional relay,
or no relay: entries then poll the platform themselves, see
:mod:`..distribution.source`.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from ..store import api
from ..wire import auth
from ..wire.gen import ttypes
from . import rendezvous

RELAYS_PER_DATA_CENTRE = 2
SILENCE_LIMIT_S = 3.0

RELAY_MARKER = 'relay'
"""Pseudo document name that marks a heartbeat as that of a relay.

A relay sends it only if the platform has answered within SILENCE_LIMIT_S, so
that a relay without the platform does not keep other entries from polling.
"""


class RelayElection:
    """The relays of one data centre, as determined by one of its entries."""

    def __init__(
        self,
        node: str,
        data_centre: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._node = node
        self._data_centre = data_centre
        self._clock = clock
        self._addresses: dict[str, str] = {}
        self._by_preference: list[str] = [node]
        self._connections: dict[str, set[object]] = {}
        self._absent_since_s: dict[str, float] = {}
        self._last_relay_heartbeat_s: float | None = None

    def set_hosts(self, hosts: Iterable[api.HostRow]) -> None:
        """Apply a new host list."""
        self._addresses = {
            host.node: host.address
            for host in hosts
            if host.role == 'entry'
            and host.data_centre == self._data_centre
            and host.state == 'live'
        }
        nodes = {self._node, *self._addresses}
        self._by_preference = rendezvous.highest_ranked(
            election_key(self._data_centre), nodes, len(nodes)
        )
        now_s = self._clock()
        self._absent_since_s = {
            node: self._absent_since_s.get(node, now_s)
            for node in self._addresses
            if not self._connections.get(node)
        }

    def connection_opened(self, peer: auth.Identity, conn: object) -> None:
        """Record a new connection with *peer*."""
        self._connections.setdefault(peer.node, set()).add(conn)
        self._absent_since_s.pop(peer.node, None)

    def connection_closed(self, peer: auth.Identity, conn: object) -> None:
        """Record the end of a connection with *peer*."""
        connections = self._connections.get(peer.node, set())
        connections.discard(conn)
        if not connections:
            self._connections.pop(peer.node, None)
            self._absent_since_s[peer.node] = self._clock()

    def heard(
        self, peer: auth.Identity, versions: Iterable[ttypes.DocumentVersion]
    ) -> None:
        """Record the versions of a heartbeat."""
        if peer.data_centre == self._data_centre and any(
            item.name == RELAY_MARKER for item in versions
        ):
            self._last_relay_heartbeat_s = self._clock()

    def is_relay(self) -> bool:
        """Return whether this entry is one of the relays."""
        return self._node in self._relays()

    def has_recent_relay_heartbeat(self) -> bool:
        """Return whether a relay sent a heartbeat within SILENCE_LIMIT_S."""
        return (
            self._last_relay_heartbeat_s is not None
            and self._clock() - self._last_relay_heartbeat_s < SILENCE_LIMIT_S
        )

    def addresses_to_connect(self) -> list[str]:
        """Return the addresses of the other relays.

        Absent entries that would be relays if they returned are included, so
        that their return is noticed.
        """
        last_index = self._by_preference.index(self._relays()[-1])
        return [
            self._addresses[node]
            for node in self._by_preference[: last_index + 1]
            if node != self._node
        ]

    def _relays(self) -> list[str]:
        present = [
            node for node in self._by_preference if self._is_present(node)
        ]
        return present[:RELAYS_PER_DATA_CENTRE]

    def _is_present(self, node: str) -> bool:
        absent_since_s = self._absent_since_s.get(node)
        return (
            node == self._node
            or absent_since_s is None
            or self._clock() - absent_since_s < SILENCE_LIMIT_S
        )


def election_key(data_centre: str) -> str:
    """Return the key for which the entries of a data centre are ranked."""
    return f'relay/{data_centre}'
