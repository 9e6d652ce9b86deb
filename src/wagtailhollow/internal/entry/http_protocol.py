"""Limits on callers' connections, enforced in the HTTP protocol class.

uvicorn limits neither the size of a request's head and trailers, nor the time
to receive it, nor the memory that requests take. All are limited here,
together with the number of connections.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import select

from starlette import types
from uvicorn.protocols.http import httptools_impl

from ... import errors
from ..observability import decisions, metrics
from . import caller_memory, requests

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

SLICE_BYTES = 16 * 1024
"""Bytes that are read, and parsed, before the limits are checked."""

_READ_BUFFER = memoryview(bytearray(SLICE_BYTES))
"""Shared by all connections: what is in it is copied before the next read."""

MAX_DISCARDED_BYTES = 64 * 1024
"""Bytes of a request that are read after its answer, so that the connection
can be kept; one with more left ends."""

FLUSH_S = 15.0
"""Time for a caller to read the end of an answer on a connection that closes;
the system keeps the bytes for ever if the caller reads none."""

RETRY_AFTER_S = 1
"""Retry-After of requests that are given up for want of memory."""

_REASONS = {
    400: 'Bad Request',
    408: 'Request Timeout',
    431: 'Request Header Fields Too Large',
    503: 'Service Unavailable',
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
    limits: ConnectionLimits,
    overloaded: types.ASGIApp,
    memory: caller_memory.CallerMemory | None = None,
) -> type[BoundedProtocol]:
    """Return a protocol class that enforces *limits*.

    :param memory: bounds the memory of the requests of all connections.

    :param overloaded: ASGI application for the first MAX_EXCESS_CONNECTIONS
        connections over the limit; further ones are aborted. The direct entry
        gives its normal application, so that these are served as well.
    """
    return type(
        'BoundedProtocol',
        (BoundedProtocol,),
        {
            'limits': limits,
            'overloaded': staticmethod(overloaded),
            'memory': memory or caller_memory.CallerMemory(),
        },
    )


class BoundedProtocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """HTTP/1.1 protocol of one caller's connection, with limits.

    As a buffered protocol it reads little at a time: what all connections read
    before the limits take effect counts as well.
    """

    limits: ConnectionLimits
    overloaded: types.ASGIApp
    memory: caller_memory.CallerMemory

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See :class:`asyncio.Protocol`."""
        super().connection_made(transport)
        self.held_bytes = 0
        self._costs: collections.deque[int] = collections.deque()
        self._unparsed = b''
        self._is_refused = False
        self._is_stopping = False
        self._is_in_head = True
        self._is_in_message = False
        self._head_bytes = 0
        self._bytes_without_body = 0
        self._discarded_bytes = 0
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
        self._forget_requests()
        self._is_refused = True
        super().connection_lost(exc)

    @property
    def is_reading(self) -> bool:
        """See :class:`caller_memory.Connection`."""
        if not self._is_in_message or self._is_refused:
            return False
        if self._is_in_head:
            return self.cycle is None or self.cycle.response_complete
        return not self.pipeline and not self.cycle.response_started

    def give_up(self) -> None:
        """See :class:`caller_memory.Connection`."""
        self._refuse(
            errors.ErrorKind.OVERLOADED,
            'the memory for requests is in use',
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        """See :class:`asyncio.BufferedProtocol`."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`.

        A request that waits for the answer of an earlier one is the last that
        is parsed. Bytes behind it wait, and no more are read.
        """
        data = self._unparsed + data
        self._unparsed = b''
        # Slices are views: a copy of the rest for each would cost much time.
        with memoryview(data) as view:
            for start in range(0, len(data), SLICE_BYTES):
                if self._is_refused:
                    return
                if self.pipeline:
                    self._unparsed = data[start:]
                    break
                with view[start : start + SLICE_BYTES] as piece:
                    self._parse(piece)
        if not self._is_refused:
            self._hold()

    def _parse(self, data: memoryview) -> None:
        self._bytes_without_body += len(data)
        if self._is_in_head:
            self._head_bytes += len(data)
            if self._timer is None:
                self._restart_timer(self.limits.body_timeout_s)
        super().data_received(data)
        limit = self.limits.max_header_bytes
        if self._is_refused:
            return
        if self._is_in_head and self._head_bytes > limit:
            self._refuse(
                errors.ErrorKind.HEADER_TOO_LARGE,
                f'the head of the request exceeds {limit} bytes',
            )
        elif self._is_in_message and self._bytes_without_body > (
            limit + SLICE_BYTES
        ):
            self._refuse(
                errors.ErrorKind.HEADER_TOO_LARGE,
                f'the request has over {limit} bytes of trailers or framing',
            )
        elif self._discarded_bytes > MAX_DISCARDED_BYTES:
            self._end_after_linger('rest_of_answered_request')
        else:
            self._hold()

    def on_message_begin(self) -> None:
        """Start the time-out for the head of a request."""
        if self._is_refused:
            return
        super().on_message_begin()
        self._is_in_message = True
        self._costs.append(caller_memory.REQUEST_BYTES)
        self._restart_timer(self.limits.body_timeout_s)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header line; those of trailers are dropped."""
        if self._is_refused or not self._is_in_head:
            return
        self._costs[-1] += caller_memory.line_bytes(name, value)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the time-out for a body that the application does not read.

        It closes the connection only once the answer is complete. A slow body
        that is being read is up to the application, which refuses it after a
        time-out.
        """
        if self._is_refused:
            return
        self._is_in_head = False
        if self.parser.should_upgrade() and requests.has_body(self.scope):
            # The parser would take the body for the other protocol's bytes.
            self._refuse(
                errors.ErrorKind.BAD_REQUEST,
                'a request that offers another protocol has no body',
            )
            return
        super().on_headers_complete()
        if self._is_stopping or self.parser.should_upgrade():
            self.cycle.keep_alive = False
        self._restart_timer(2 * self.limits.body_timeout_s)

    def on_body(self, body: bytes) -> None:
        """Pass on bytes of a body, unless the request has been answered."""
        self._bytes_without_body = 0
        if self._is_refused:
            return
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            return
        self._costs[-1] += caller_memory.BODY_COPIES * len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stop the time-out until the next request begins."""
        self._is_in_message = False
        self._is_in_head = True
        self._head_bytes = 0
        self._bytes_without_body = 0
        self._discarded_bytes = 0
        if self._is_refused:
            return
        super().on_message_complete()
        self._stop_timer()

    def on_response_complete(self) -> None:
        """Read on after an answer."""
        if self._costs:
            self._costs.popleft()
        super().on_response_complete()
        if self._is_refused:
            return
        self._hold()
        if self.transport.is_closing():
            self._abort_unless_flushed()
        elif self._unparsed:
            self.loop.call_soon(self.data_received, b'')

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
            self._close()

    def _refuse(self, kind: errors.ErrorKind, message: str) -> None:
        """Answer without the application and close the connection.

        An answer of the application that is due before is truncated instead,
        since the caller could take a second head for a part of its body.
        """
        if self._is_refused:
            return
        if not self._end_application():
            self._is_refused = True
            self._forget_requests()
            self.transport.close()
            return
        self.transport.write(_raw_answer(kind, message))
        self._end_after_linger(kind.value)

    def _end_application(self) -> bool:
        """End what the application does with the request that is being read.

        :return: whether the next answer on the connection is that of this
            request, and nothing of it has been sent.
        """
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return True
        if self._is_in_head or self.pipeline or cycle.response_started:
            return False
        cycle.disconnected = True
        cycle.body = bytearray()
        cycle.message_event.set()
        return True

    def _end_after_linger(self, reason: str) -> None:
        """Close the connection once the caller could read its answer."""
        self._is_refused = True
        self._stop_timer()
        self._forget_requests()
        if self.headers is not None:
            # The connection stays for a while, with all that it refers to.
            self.headers.clear()
        metrics.ended_connections.labels(reason).inc()
        decisions.log(
            'caller_ended',
            reason=reason,
            caller=self.client and self.client[0],
        )
        if self.transport.is_closing():
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.flow.resume_reading()
        self.loop.call_later(LINGER_S, self._close)

    def _close(self) -> None:
        self.transport.close()
        self._abort_unless_flushed()

    def _abort_unless_flushed(self) -> None:
        if self.transport.get_write_buffer_size():
            self.loop.call_later(FLUSH_S, self.transport.abort)

    def _hold(self) -> None:
        self.memory.hold(self, sum(self._costs) + len(self._unparsed))

    def _forget_requests(self) -> None:
        self._costs.clear()
        self._unparsed = b''
        self._hold()


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
        'connection: close\r\n'
    )
    if answer.status in errors.NOT_RUN_STATUSES:
        head += f'retry-after: {RETRY_AFTER_S}\r\n'
    return head.encode() + b'\r\n' + body
