"""Handles operators' requests at a daemon: status and direct withdrawals.

A direct withdrawal is sent to a node instead of to the platform. It is not
related to the direct entry and the direct agent.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from absl import logging

from ... import errors
from ..distribution import document, overrides
from ..wire import connection
from ..wire.gen import ttypes

STATUS = 'status'
WITHDRAW_DIRECT = 'withdraw_direct'
FORWARD_TIMEOUT_S = 2.0


class OperatorService:
    """Handles ``StatusRequest`` messages.

    Forwards direct withdrawals to the peers that *forward_to* returns, also
    to those of them that connect later.
    """

    def __init__(
        self,
        handlers: connection.Handlers,
        documents: Iterable[document.VersionedDocument],
        direct: overrides.DirectWithdrawals,
        status: Callable[[], Mapping[str, Any]],
        forward_to: Callable[[], Iterable[connection.PeerConnection]],
    ) -> None:
        """Register the handlers.

        :param status: returns the part of the status that is specific to
            this kind of daemon, as JSON values.
        :param forward_to: returns the connections to which direct
            withdrawals are forwarded.
        """
        self._documents = tuple(documents)
        self._direct = direct
        self._status = status
        self._forward_to = forward_to
        self._tasks: set[asyncio.Task[None]] = set()
        handlers.on_request(ttypes.StatusRequest)(self._handle_status)
        handlers.open_callbacks.append(self._on_connected)

    async def _handle_status(
        self, conn: connection.PeerConnection, message: ttypes.StatusRequest
    ) -> ttypes.StatusReply:
        if message.what == STATUS:
            _require_role(conn, ttypes.Role.OPERATOR)
            answer = {
                'versions': {
                    item.name: item.version for item in self._documents
                },
                'direct_withdrawals': self._direct.in_force(),
                **self._status(),
            }
        elif message.what == WITHDRAW_DIRECT:
            _require_role(conn, ttypes.Role.OPERATOR, ttypes.Role.ENTRY)
            if self._direct.apply_argument(message.argument):
                for peer in self._forward_to():
                    self._forward(peer)
            answer = {'direct_withdrawals': self._direct.in_force()}
        else:
            raise errors.Refusal(
                errors.ErrorKind.BAD_REQUEST,
                f'got {message.what!r}; allowed: {STATUS}, {WITHDRAW_DIRECT}',
            )
        return ttypes.StatusReply(json.dumps(answer).encode())

    def _on_connected(self, conn: connection.PeerConnection) -> None:
        if self._direct.in_force() and conn.peer.role != ttypes.Role.OPERATOR:
            # An answer can be received only once the connection's reader runs.
            asyncio.get_running_loop().call_soon(
                self._forward_if_still_peer, conn
            )

    def _forward_if_still_peer(self, conn: connection.PeerConnection) -> None:
        if conn in self._forward_to():
            self._forward(conn)

    def _forward(self, conn: connection.PeerConnection) -> None:
        task = asyncio.create_task(self._send_withdrawals(conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_withdrawals(self, conn: connection.PeerConnection) -> None:
        message = ttypes.StatusRequest(WITHDRAW_DIRECT, self._direct.encoded())
        try:
            await conn.request(message, FORWARD_TIMEOUT_S)
        except (
            connection.ConnectionLost,
            TimeoutError,
            errors.Refusal,
        ) as exc:
            # The withdrawals are sent again when the peer reconnects.
            logging.warning(
                'direct withdrawals not sent to %s: %r',
                conn.peer.node,
                exc,
            )
            with contextlib.suppress(connection.ConnectionLost):
                conn.close('the peer did not confirm a direct withdrawal')


def _require_role(conn: connection.PeerConnection, *roles: int) -> None:
    if conn.peer.role not in roles:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            f'{conn.peer.node} may not send this request',
        )
