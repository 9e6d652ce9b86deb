"""Applies host states to routing and sends agents their own rows."""

from __future__ import annotations

import contextlib
import json

from ..distribution import document
from ..membership import hosts
from ..routing import load_view
from ..wire import connection, pool
from ..wire.gen import ttypes


class HostListFollower:
    """Follows the host list for an entry.

    Targets of agents in the state leaving get no new calls. Agents do not read
    the host list, so an agent's row is sent to it when the row changes and on
    each new connection.
    """

    def __init__(
        self,
        host_list: document.VersionedDocument,
        peers: pool.PeerPool,
        view: load_view.LoadView,
        handlers: connection.Handlers,
    ) -> None:
        self._host_list = host_list
        self._peers = peers
        self._load_view = view
        host_list.on_change(self._on_hosts_changed)
        handlers.open_callbacks.append(self._send_own_row)

    def _on_hosts_changed(self, change: document.Change) -> None:
        rows = hosts.from_rows(self._host_list.rows)
        agents = [row for row in rows if row.role == 'agent']
        self._load_view.set_serving_agents(
            row.node for row in agents if row.state != hosts.LEAVING
        )
        for conn in self._peers.open_connections():
            if conn.peer.node in change.rows:
                self._send_own_row(conn)

    def _send_own_row(self, conn: connection.PeerConnection) -> None:
        row = self._host_list.rows.get(conn.peer.node)
        if row is None or conn.peer.role != ttypes.Role.AGENT:
            return
        message = ttypes.DocumentDelta(
            name=hosts.own_row_document(conn.peer.node),
            from_version=0,
            to_version=self._host_list.version,
            rows=json.dumps({conn.peer.node: row}).encode(),
            removed=[],
        )
        with contextlib.suppress(connection.ConnectionLost):
            conn.send_nowait(message)
