"""Connections to the other entries, for the limit methods."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ... import errors
from ..platform import api
from ..wire import connection, pool
from ..wire.gen import ttypes
from . import method

OWNER_TIMEOUT_S = 1.0


class EntryPeers:
    """Adapter of :class:`method.Peers` to the peer connections."""

    def __init__(self, node: str, connections: pool.PeerPool) -> None:
        self._node = node
        self._connections = connections
        self._addresses: dict[str, str] = {}

    @property
    def node(self) -> str:
        """See :class:`method.Peers`."""
        return self._node

    def set_hosts(self, rows: Sequence[api.HostRow]) -> None:
        """Take over the entries of a new host list."""
        self._addresses = {
            row.node: row.address
            for row in rows
            if row.role == 'entry' and row.state == 'live'
        }

    def addresses(self) -> list[str]:
        """Return the addresses of the other entries, to connect to."""
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
        return len({self._node, *self._addresses})

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
            conn.post(message)
        except connection.ConnectionLost:
            return False
        return True

    def _connection(self, node: str) -> connection.PeerConnection | None:
        address = self._addresses.get(node)
        return self._connections.get(address) if address else None


def serve(
    handlers: connection.Handlers,
    grant: Callable[[ttypes.BlockRequest], object],
    take_back: Callable[[ttypes.BlockReturn], None],
) -> None:
    """Register the handlers of an owner; only entries may ask."""

    @handlers.on_request(ttypes.BlockRequest)
    async def grant_block(
        conn: connection.PeerConnection, message: ttypes.BlockRequest
    ) -> ttypes.BlockGrant:
        _check_role(conn)
        return await grant(message)

    @handlers.on_notice(ttypes.BlockReturn)
    def block_returned(
        conn: connection.PeerConnection, message: ttypes.BlockReturn
    ) -> None:
        if conn.peer.role == ttypes.Role.ENTRY:
            take_back(message)


def _check_role(conn: connection.PeerConnection) -> None:
    if conn.peer.role != ttypes.Role.ENTRY:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            f'{conn.peer.node} is not an entry',
        )
