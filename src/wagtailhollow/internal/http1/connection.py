"""One HTTP/1.1 client connection to a target or to the platform's store.

aiohttp does not expose what decides on retries: whether any byte of a request
was sent, whether a response belongs to the pending request, and whether a
response without a length is complete or truncated. Responses are parsed with
httptools.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import re
import socket
from collections.abc import Sequence

import httptools

from . import byte_budget

PAUSE_BYTES = 16 * 1024
"""Unread body bytes above which the transport stops reading."""

_READ_BUFFER = memoryview(bytearray(byte_budget.READ_BYTES))
"""Shared by all connections: what is in it is parsed before the next read."""

UNACKED_TIMEOUT_MS = 1_500
"""TCP_USER_TIMEOUT: the connection is closed if sent data is not acknowledged
for this time. Below the 2 s after which the client of a stream gives up."""

KEEPALIVE_IDLE_S = 2
KEEPALIVE_PROBES = 2
"""Probes are sent once a second, so an idle connection to an unreachable peer
is closed after about 4 s."""

MAX_HEAD_BYTES = 64 * 1024
"""Bytes that may arrive without any of a body among them: the head of a
response with those of interim and late ones before it, framing, trailers."""

MAX_HEAD_LINES = 512
"""Header lines in the same bytes. Each takes some hundred bytes of memory,
however short it is."""

MAX_SKIPPED_BYTES = 1024 * 1024
"""Bytes of the bodies of late responses before the expected one."""

FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = frozenset({100, 102, 103})
"""Statuses before that of the answer. 101 is none: no request asks to change
the protocol."""

_SECONDS = re.compile(rb'\d{1,9}(\.\d{1,9})?')

REQUEST_ID_HEADER = b'x-request-id'

Headers = Sequence[tuple[bytes, bytes]]


def first_header(headers: Headers, name: bytes, default: bytes = b'') -> bytes:
    """Return the first value of a header; *name* must be in lower case."""
    return next((value for key, value in headers if key == name), default)


class ConnectFailed(Exception):
    """The connection could not be opened, so nothing was sent."""


class ResponseLost(Exception):
    """The connection was closed before the response was complete.

    :ivar was_sent: whether the peer may have received the request.
    """

    def __init__(self, message: str, was_sent: bool = True) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class ResponseUnusable(ResponseLost):
    """The peer sends what no response contains, or more than it may."""


class _State(enum.Enum):
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of a response; header names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes, default: bytes = b'') -> bytes:
        """Return the first value of a header."""
        return first_header(self.headers, name, default)

    def retry_after_s(self) -> float | None:
        """Return the seconds of Retry-After; None for another value."""
        match = _SECONDS.fullmatch(self.get(b'retry-after').strip())
        return float(match[0]) if match else None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An encoded request.

    :ivar head: request line and headers, including the empty line.
    :ivar request_id: id that the response echoes, or empty.
    """

    head: bytes
    body: bytes = b''
    request_id: bytes = b''


def request_head(method: str, path: bytes, headers: Headers) -> bytes:
    """Encode the request line and the headers."""
    lines = [method.encode('latin-1') + b' ' + path + b' HTTP/1.1']
    lines += [name + b': ' + value for name, value in headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


class HttpConnection(asyncio.BufferedProtocol):
    """One connection, without pipelining: one request at a time.

    :ivar idle_timeout_s: time-out of the peer's Keep-Alive header, or None.
    :ivar idle_since_s: loop time at which the connection became idle.
    :ivar is_closed_by_peer: whether the peer has closed or reset it.
    """

    def __init__(self, budget: byte_budget.ByteBudget | None = None) -> None:
        """Create an unconnected connection.

        :param budget: bounds the bytes of all answers together.
        """
        self._budget = budget or byte_budget.ByteBudget()
        self._unread = byte_budget.Holder(self._budget)
        self.idle_timeout_s: float | None = None
        self.idle_since_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._state = _State.IDLE
        self._waiter: asyncio.Future[None] | None = None
        self._reset_response()
        self._keeps_alive = True
        self._close_reason = ''
        self._is_unusable = False
        self.is_closed_by_peer = False
        self._request_id = b''
        self._had_responses = False

    def _reset_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: Head | None = None
        self._body_chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._bytes_without_body = 0
        self._lines_without_body = 0
        self._skipped_bytes = 0
        self._is_skipped = False
        self._is_complete = False
        self._is_framed = False

    @classmethod
    async def open(
        cls,
        address: str,
        timeout_s: float,
        budget: byte_budget.ByteBudget | None = None,
    ) -> HttpConnection:
        """Connect to ``host:port``; raises ConnectFailed."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    lambda: cls(budget), host, int(port)
                )
        except (OSError, TimeoutError, ValueError, OverflowError) as exc:
            raise ConnectFailed(f'{address}: {exc!r}') from exc
        return conn

    @property
    def is_usable(self) -> bool:
        """Return whether a request can be sent."""
        return self._state is _State.IDLE and not self._transport.is_closing()

    @property
    def ends_with_connection(self) -> bool:
        """Return whether the end of the body is that of the connection."""
        return self._head is not None and not self._is_framed

    def close(self) -> None:
        """Abort the connection and with it any request in progress."""
        self._abort()
        self._body_chunks.clear()

    def fail(self, reason: str) -> None:
        """Abort the connection; the request in progress is lost.

        Bytes of the body that have arrived can still be read.
        """
        self._close_reason = self._close_reason or reason
        self._abort()
        self._wake_waiter()

    def _abort(self) -> None:
        self._state = _State.BROKEN
        self._unread.hold(0)
        self._headers = []
        # The parser refers to the connection; without this reference to the
        # parser both are released without a garbage collection.
        self._parser = None
        if self._transport is not None:
            self._transport.abort()

    def _fail_as_unusable(self, excess: str) -> None:
        self._is_unusable = True
        self.fail(f'the peer sends {excess}')

    async def send(self, req: Request) -> Head:
        """Send a request and return the head of its response.

        :raises ResponseLost: the connection was closed before the head.
        """
        self.start(req)
        return await self.head()

    def start(self, req: Request) -> None:
        """Send a request, whose response can be waited for.

        :raises ResponseLost: the connection is closed, nothing was sent.
        """
        if not self.is_usable:
            raise ResponseLost('the connection is closed', was_sent=False)
        self._reset_response()
        self._request_id = req.request_id
        self._state = _State.HEAD
        self._transport.write(req.head + req.body if req.body else req.head)

    async def head(self) -> Head:
        """Return the head of the response; a cancelled wait may be repeated.

        :raises ResponseLost: the connection was closed before the head.
        """
        while self._head is None:
            await self._wait_for_data()
        return self._head

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        A cancelled wait may be repeated: bytes are kept until they are
        returned.

        :raises ResponseLost: the body was truncated.
        """
        while not self._body_chunks:
            if self._is_complete:
                self._finish_response()
                return b''
            await self._wait_for_data()
        data = b''.join(self._body_chunks)
        self._body_chunks.clear()
        self._buffered_bytes = 0
        self._unread.hold(0)
        if self._state is _State.BODY:
            self._transport.resume_reading()
        return data

    async def read_all(self, limit: int) -> bytes:
        """Return the body; raises ResponseLost if it exceeds *limit* bytes."""
        body = bytearray()
        while data := await self.read():
            body += data
            if len(body) > limit:
                self.close()
                raise ResponseLost(f'the response body exceeds {limit} bytes')
        return bytes(body)

    async def read_up_to(self, size: int) -> tuple[bytes, bool]:
        """Return the first bytes of the body and whether they are all of it.

        Reads until the body is complete or longer than *size*, or until the
        budget of all connections is exceeded.

        :raises ResponseLost: the body was truncated.
        """
        body = bytearray()
        holder = byte_budget.Holder(self._budget)
        try:
            while data := await self.read():
                body += data
                holder.hold(len(body))
                if len(body) > size or self._budget.is_exceeded:
                    return bytes(body), False
        finally:
            holder.hold(0)
        return bytes(body), True

    def _finish_response(self) -> None:
        if self._state is not _State.BODY:
            return
        if self._keeps_alive and self._is_framed:
            self._state = _State.IDLE
            self._had_responses = True
            self._request_id = b''
            self.idle_since_s = asyncio.get_running_loop().time()
        else:
            self.close()

    async def _wait_for_data(self) -> None:
        if self._state is _State.BROKEN:
            error = ResponseUnusable if self._is_unusable else ResponseLost
            raise error(self._close_reason or 'the connection was closed')
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """See :class:`asyncio.Protocol`."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for level, option, value in (
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        ):
            sock.setsockopt(level, option, value)

    def get_buffer(self, sizehint: int) -> memoryview:
        """See :class:`asyncio.BufferedProtocol`."""
        # The head of an answer and the start of its body come in one read.
        if self._head is None and (self._is_skipped or self._skipped_bytes):
            return _READ_BUFFER
        return _READ_BUFFER[: self._budget.read_bytes()]

    def buffer_updated(self, nbytes: int) -> None:
        """See :class:`asyncio.BufferedProtocol`."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._state is _State.IDLE:
            # Data without a pending request: a duplicate response or garbage.
            self.fail('data received without a pending request')
        elif self._state is not _State.BROKEN:
            self._bytes_without_body += len(data)
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError as exc:
                # A complete response stays valid whatever data follows.
                if self._is_complete:
                    self._keeps_alive = False
                else:
                    self.fail(f'malformed HTTP response: {exc}')
            if excess := self._excess():
                self._fail_as_unusable(excess)
            elif self._buffered_bytes > PAUSE_BYTES or (
                self._buffered_bytes and self._budget.is_exceeded
            ):
                self._transport.pause_reading()
            self._wake_waiter()

    def _excess(self) -> str:
        """Return what there is more of than in any response, if anything."""
        if self._lines_without_body > MAX_HEAD_LINES:
            return f'over {MAX_HEAD_LINES} header lines'
        if self._bytes_without_body > MAX_HEAD_BYTES:
            return f'over {MAX_HEAD_BYTES} bytes that are no body'
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            return f'over {MAX_SKIPPED_BYTES} bytes of late responses'
        return ''

    def eof_received(self) -> bool:
        """Complete a body without a length, which ends with the connection."""
        self.is_closed_by_peer = True
        if (
            self._state is _State.BODY
            and not self._is_framed
            and not self._is_skipped
        ):
            self._is_complete = True
            self._wake_waiter()
        elif not self._is_complete:
            self.fail('the peer closed the connection during the response')
        self._keeps_alive = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        self.is_closed_by_peer |= isinstance(exc, ConnectionError)
        if self._is_complete:
            self._keeps_alive = False
            self._wake_waiter()
            return
        self.fail(f'the connection was lost: {exc!r}')

    @property
    def _is_over(self) -> bool:
        """Return whether nothing more belongs to the response."""
        return self._is_complete or self._state is _State.BROKEN

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response; a second one makes the connection unusable."""
        if self._is_complete:
            self._keeps_alive = False
        else:
            self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header of the head; those of trailers are dropped."""
        if self._is_over:
            return
        self._lines_without_body += 1
        if self._head is None and self._lines_without_body <= MAX_HEAD_LINES:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Accept the head, unless it belongs to another request."""
        if self._is_over:
            return
        if excess := self._excess():
            self._fail_as_unusable(excess)
            return
        status = self._parser.get_status_code()
        if status in INTERIM_STATUSES:
            self._is_skipped = True
            return
        if status not in FINAL_STATUSES:
            self.fail(f'the status {status:03} is none of an answer')
            return
        head = Head(status, tuple(self._headers))
        # A response with another id is a late response to an earlier request
        # on this connection; the expected one may follow.
        response_id = head.get(REQUEST_ID_HEADER)
        if self._request_id and not response_id and self._had_responses:
            # It may be a second copy of an earlier response.
            self.fail('response without a request id on a used connection')
            return
        self._is_skipped = bool(
            self._request_id
            and response_id
            and response_id != self._request_id
        )
        if self._is_skipped:
            self._keeps_alive = False
            return
        self._is_framed = bool(
            head.get(b'content-length')
            or head.get(b'transfer-encoding')
            or status in (204, 304)
        )
        self._keeps_alive = (
            self._keeps_alive and self._parser.should_keep_alive()
        )
        self._parse_keep_alive(head)
        self._head = head
        self._state = _State.BODY

    def on_body(self, data: bytes) -> None:
        """Collect bytes of the body."""
        if self._is_over:
            return
        self._bytes_without_body = 0
        self._lines_without_body = 0
        if self._head is None:
            self._skipped_bytes += len(data)
            return
        self._body_chunks.append(data)
        self._buffered_bytes += len(data)
        self._unread.hold(self._buffered_bytes)

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        if self._is_skipped:
            self._is_skipped = False
        elif self._head is not None:
            self._is_complete = True

    def _parse_keep_alive(self, head: Head) -> None:
        for part in head.get(b'keep-alive').split(b','):
            name, _, value = part.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                self.idle_timeout_s = float(value)
