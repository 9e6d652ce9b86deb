"""Which entries of a data centre relay the platform's documents.

The two live entries that rank highest for the data centre are its relays.
Each entry works this out from the host list and from its own connections; if
two entries disagree for a while there is a relay too many or each entry polls
the platform itself, see :mod:`..distribution.source`.
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
"""Name among a heartbeat's versions by which a relay makes itself known.

Only a relay that has heard from the platform within SILENCE_LIMIT_S sends it,
so that one that is cut off from the platform does not keep others from
polling.
"""


class RelayElection:
    """Relays of one data centre as one of its entries sees them."""

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
        self._ranking: list[str] = [node]
        self._connections: dict[str, set[object]] = {}
        self._absent_since_s: dict[str, float] = {}
        self._heard_at_s: float | None = None

    def set_hosts(self, hosts: Iterable[api.HostRow]) -> None:
        """Take a new host list."""
        self._addresses = {
            host.node: host.address
            for host in hosts
            if host.role == 'entry'
            and host.data_centre == self._data_centre
            and host.state == 'live'
        }
        nodes = {self._node, *self._addresses}
        self._ranking = rendezvous.highest_ranked(
            election_key(self._data_centre), nodes, len(nodes)
        )
        now_s = self._clock()
        self._absent_since_s = {
            node: self._absent_since_s.get(node, now_s)
            for node in self._addresses
            if not self._connections.get(node)
        }

    def connection_opened(self, peer: auth.Identity, conn: object) -> None:
        """Note that a connection with *peer* exists."""
        self._connections.setdefault(peer.node, set()).add(conn)
        self._absent_since_s.pop(peer.node, None)

    def connection_closed(self, peer: auth.Identity, conn: object) -> None:
        """Note that a connection with *peer* has ended."""
        connections = self._connections.get(peer.node, set())
        connections.discard(conn)
        if not connections:
            self._connections.pop(peer.node, None)
            self._absent_since_s[peer.node] = self._clock()

    def heard(
        self, peer: auth.Identity, versions: Iterable[ttypes.DocumentVersion]
    ) -> None:
        """Take the versions of a heartbeat."""
        if peer.data_centre == self._data_centre and any(
            item.name == RELAY_MARKER for item in versions
        ):
            self._heard_at_s = self._clock()

    def is_relay(self) -> bool:
        """Return whether this entry is one of the relays."""
        return self._node in self._relays()

    def has_recent_relay_heartbeat(self) -> bool:
        """Return whether a relay has been heard within the limit."""
        return (
            self._heard_at_s is not None
            and self._clock() - self._heard_at_s < SILENCE_LIMIT_S
        )

    def addresses_to_connect(self) -> list[str]:
        """Return the peer addresses of the relays, suspected ones too.

        A higher-ranked entry that is not live now is still connected to, so
        that its return is seen.
        """
        last = self._ranking.index(self._relays()[-1])
        return [
            self._addresses[node]
            for node in self._ranking[: last + 1]
            if node != self._node
        ]

    def _relays(self) -> list[str]:
        live = [node for node in self._ranking if self._is_live(node)]
        return live[:RELAYS_PER_DATA_CENTRE]

    def _is_live(self, node: str) -> bool:
        absent_since_s = self._absent_since_s.get(node)
        return (
            node == self._node
            or absent_since_s is None
            or self._clock() - absent_since_s < SILENCE_LIMIT_S
        )


def election_key(data_centre: str) -> str:
    """Return the name under which relays are ranked."""
    return f'relay/{data_centre}'
