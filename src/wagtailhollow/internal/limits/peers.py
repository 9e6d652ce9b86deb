"""Connects the limit methods to the other entries."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ... import errors
from ..store import api
from ..wire import connection, pool
from ..wire.gen import ttypes
from . import method

OWNER_TIMEOUT_S = 1.0

MAX_MESH_ENTRIES = 48
"""Maximum number of entries that form a full mesh.

With more entries, blocks are shared within a data centre only. Control traffic
may use 1.1% of a core; the heartbeats of a full mesh of 340 entries would
exceed that, and the limit is well below this size. The owners of each data
centre then hold chunks of their own and a proportional part of the rates.
"""


class EntryPeers:
    """Implements :class:`method.Peers` with the peer connections."""

    def __init__(
        self, node: str, data_centre: str, connections: pool.PeerPool
    ) -> None:
        self._node = node
        self._data_centre = data_centre
        self._connections = connections
        self._addresses: dict[str, str] = {}
        self._listed_count = 1

    @property
    def node(self) -> str:
        """See :class:`method.Peers`."""
        return self._node

    def set_hosts(self, rows: Sequence[api.HostRow]) -> None:
        """Apply the entries of a new host list."""
        entries = [
            row for row in rows if row.role == 'entry' and row.state == 'live'
        ]
        self._listed_count = len({self._node, *(row.node for row in entries)})
        is_mesh = len(entries) <= MAX_MESH_ENTRIES
        self._addresses = {
            row.node: row.address
            for row in entries
            if is_mesh or row.data_centre == self._data_centre
        }

    def addresses(self) -> list[str]:
        """Return the addresses of the other entries to connect to."""
        return [
            address
            for node, address in self._addresses.items()
            if node != self._node
        ]

    def live(self) -> list[str]:
        """See :class:`method.Peers`."""
        others = [
            node
            for node, address in self._addresses.items()
            if node != self._node
            and self._connections.get(address) is not None
        ]
        return [self._node, *others]

    def listed_count(self) -> int:
        """See :class:`method.Peers`."""
        return self._listed_count

    async def request_block(
        self, owner: str, message: ttypes.BlockRequest
    ) -> ttypes.BlockGrant:
        """See :class:`method.Peers`."""
        conn = self._connection(owner)
        if conn is None:
            raise method.OwnerUnreachable(owner)
        try:
            return await conn.request(message, OWNER_TIMEOUT_S)
        except (connection.ConnectionLost, TimeoutError) as exc:
            raise method.OwnerUnreachable(owner) from exc

    def return_block(self, owner: str, message: ttypes.BlockReturn) -> bool:
        """See :class:`method.Peers`."""
        conn = self._connection(owner)
        if conn is None:
            return False
        try:
            conn.send_nowait(message)
        except connection.ConnectionLost:
            return False
        return True

    def _connection(self, node: str) -> connection.PeerConnection | None:
        address = self._addresses.get(node)
        return self._connections.get(address) if address else None


def serve(
    handlers: connection.Handlers,
    grant: Callable[[ttypes.BlockRequest], object],
    accept_return: Callable[[ttypes.BlockReturn], None],
) -> None:
    """Register the handlers of an owner; other roles are refused."""

    @handlers.on_request(ttypes.BlockRequest)
    async def grant_block(
        conn: connection.PeerConnection, message: ttypes.BlockRequest
    ) -> ttypes.BlockGrant:
        _require_entry(conn)
        return await grant(message)

    @handlers.on_one_way(ttypes.BlockReturn)
    def accept_block(
        conn: connection.PeerConnection, message: ttypes.BlockReturn
    ) -> None:
        if conn.peer.role == ttypes.Role.ENTRY:
            accept_return(message)


def _require_entry(conn: connection.PeerConnection) -> None:
    if conn.peer.role != ttypes.Role.ENTRY:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            f'{conn.peer.node} may not request blocks: it is not an entry',
        )
