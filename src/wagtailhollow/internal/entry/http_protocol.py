"""Limits on callers' connections, enforced in the HTTP protocol class.

uvicorn limits neither the size of a request head nor the time to receive it.
Both are limited here, together with the number of connections.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import select

from starlette import types
from uvicorn.protocols.http import httptools_impl

from ... import errors

LINGER_S = 1.0
"""Time for which a refused connection stays open after the answer.

Closing it with unread data would send a reset, which could overtake the
answer.
"""

FIRST_REQUEST_S = 1.0
"""Time for the first request of a connection that a stopping server keeps
open for it; covers one retransmission."""

MAX_EXCESS_CONNECTIONS = 128
"""Connections over the limit that are answered; others are aborted."""

_REASONS = {
    400: 'Bad Request',
    408: 'Request Timeout',
    431: 'Request Header Fields Too Large',
}


@dataclasses.dataclass(frozen=True)
class ConnectionLimits:
    """Limits on callers' connections.

    :ivar max_connections: number of connections above which *overloaded*
        answers instead of the normal application.
    :ivar body_timeout_s: the setting for bodies, used here as the time-out for
        the head of a request. After twice this time a connection is closed if
        its answer is complete although its request is not.
    """

    max_connections: int = 2_048
    max_header_bytes: int = 16_384
    body_timeout_s: float = 10.0


def bounded_protocol(
    limits: ConnectionLimits, overloaded: types.ASGIApp
) -> type[BoundedProtocol]:
    """Return a protocol class that enforces *limits*.

    :param overloaded: ASGI application for the first MAX_EXCESS_CONNECTIONS
        connections over the limit; further ones are aborted. The direct entry
        gives its normal application, so that these are served as well.
    """
    return type(
        'BoundedProtocol',
        (BoundedProtocol,),
        {'limits': limits, 'overloaded': staticmethod(overloaded)},
    )


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """HTTP/1.1 protocol of one caller's connection, with limits."""

    limits: ConnectionLimits
    overloaded: types.ASGIApp

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See :class:`asyncio.Protocol`."""
        super().connection_made(transport)
        self._is_refused = False
        self._is_stopping = False
        self._is_in_head = True
        self._head_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        # What a slow caller has not read waits at the target's connection,
        # where it is counted.
        transport.set_write_buffer_limits(high=0)
        excess = len(self.connections) - self.limits.max_connections
        if excess > MAX_EXCESS_CONNECTIONS:
            self._is_refused = True
            transport.abort()
            return
        if excess > 0:
            self.app = self.overloaded
        self._restart_timer(self.limits.body_timeout_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        if self._is_refused:
            return
        if self._is_in_head:
            self._head_bytes += len(data)
            if self._timer is None:
                self._restart_timer(self.limits.body_timeout_s)
        super().data_received(data)
        limit = self.limits.max_header_bytes
        if self._is_in_head and self._head_bytes > limit:
            self._refuse(
                errors.ErrorKind.HEADER_TOO_LARGE,
                f'the head of the request exceeds {limit} bytes',
            )

    def on_message_begin(self) -> None:
        """Start the time-out for the head of a request."""
        super().on_message_begin()
        self._restart_timer(self.limits.body_timeout_s)

    def on_headers_complete(self) -> None:
        """Start the time-out for a body that the application does not read.

        It closes the connection only once the answer is complete. A slow body
        that is being read is up to the application: ``app.CallerApp`` refuses
        it after a time-out, ``direct.app.RoutedApp`` waits without one.
        """
        self._is_in_head = False
        super().on_headers_complete()
        if self._is_stopping:
            self.cycle.keep_alive = False
        self._restart_timer(2 * self.limits.body_timeout_s)

    def on_message_complete(self) -> None:
        """Stop the time-out until the next request begins."""
        super().on_message_complete()
        self._is_in_head = True
        self._head_bytes = 0
        self._stop_timer()

    def shutdown(self) -> None:
        """Close the connection, unless a request is on its way.

        A request that the kernel has received, or the first one of a
        connection, is still answered.
        """
        self._is_stopping = True
        had_requests = self.cycle is not None
        if had_requests and (
            not self.cycle.response_complete
            or (self._head_bytes == 0 and not self._has_unread_bytes())
        ):
            super().shutdown()
        elif self._head_bytes == 0 and not self._is_refused:
            self._restart_timer(FIRST_REQUEST_S)

    def send_400_response(self, msg: str) -> None:
        """Answer data that is not valid HTTP."""
        self._refuse(errors.ErrorKind.BAD_REQUEST, msg)

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes or the end of the connection can be read."""
        poll = select.poll()
        poll.register(self.transport.get_extra_info('socket'), select.POLLIN)
        return bool(poll.poll(0))

    def _restart_timer(self, delay_s: float) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(delay_s, self._on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_timeout(self) -> None:
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            # Closing the connection now would truncate the answer.
            self._restart_timer(self.limits.body_timeout_s)
        elif self._is_in_head and self._head_bytes:
            self._refuse(
                errors.ErrorKind.SLOW_SENDER,
                'the head of the request did not arrive within '
                f'{self.limits.body_timeout_s} s',
            )
        else:
            self.transport.close()

    def _refuse(self, kind: errors.ErrorKind, message: str) -> None:
        """Answer without the application and close the connection.

        An unfinished answer is truncated instead, since the caller could take
        a second head for a part of its body.
        """
        self._is_refused = True
        self._stop_timer()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            self.transport.close()
            return
        self.transport.write(_raw_answer(kind, message))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)


def _raw_answer(kind: errors.ErrorKind, message: str) -> bytes:
    # The headers may not be parsed yet. The request may have an
    # Idempotency-Key and may have run earlier under it, so an answer that
    # permits a later retry must not say "not run".
    answer = errors.ANSWERS[kind]
    if answer.retry is errors.Retry.LATER:
        answer = answer.uncertain()
    document = {
        'error': {
            'kind': kind.value,
            'type': kind.value,
            'message': message,
            'execution': answer.execution.value,
            'retry': answer.retry.value,
            'request_id': '',
        }
    }
    body = json.dumps(document).encode()
    head = (
        f'HTTP/1.1 {answer.status} {_REASONS[answer.status]}\r\n'
        'content-type: application/json\r\n'
        f'content-length: {len(body)}\r\n'
        f'x-execution: {answer.execution.value}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + body
