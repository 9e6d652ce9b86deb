"""What a daemon answers to operators: its status, direct withdrawals."""

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
    """Serves StatusRequest.

    A direct withdrawal is passed on to the peers that :attr:`forward_to`
    returns, and to each of them that connects later.
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

        :param status: returns the part of the status that only this kind of
            daemon has, as JSON values.
        """
        self._documents = tuple(documents)
        self._direct = direct
        self._status = status
        self._forward_to = forward_to
        self._tasks: set[asyncio.Task[None]] = set()
        handlers.on_request(ttypes.StatusRequest)(self._serve)
        handlers.opened.append(self._opened)

    async def _serve(
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

    def _opened(self, conn: connection.PeerConnection) -> None:
        if self._direct.in_force() and conn.peer.role != ttypes.Role.OPERATOR:
            # The reader of the connection has to run before it can answer.
            asyncio.get_running_loop().call_soon(self._forward_if_due, conn)

    def _forward_if_due(self, conn: connection.PeerConnection) -> None:
        if conn in self._forward_to():
            self._forward(conn)

    def _forward(self, conn: connection.PeerConnection) -> None:
        task = asyncio.create_task(self._send(conn))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, conn: connection.PeerConnection) -> None:
        message = ttypes.StatusRequest(WITHDRAW_DIRECT, self._direct.encoded())
        try:
            await conn.request(message, FORWARD_TIMEOUT_S)
        except (
            connection.ConnectionLost,
            TimeoutError,
            errors.Refusal,
        ) as exc:
            # It is sent again when the peer connects again.
            logging.warning(
                'direct withdrawals not sent to %s: %r', conn.peer.node, exc
            )
            with contextlib.suppress(connection.ConnectionLost):
                conn.close('a direct withdrawal was not confirmed')


def _require_role(conn: connection.PeerConnection, *roles: int) -> None:
    if conn.peer.role not in roles:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            f'{conn.peer.node} is not an operator',
        )
