"""One HTTP/1.1 connection to a target or to the platform's store.

aiohttp hides what decides here: whether a byte of a request was sent, whether
an answer belongs to the request that waits for it, and whether an answer
without a length ended or was cut. The parser is that of httptools.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import enum
import socket
from collections.abc import Sequence

import httptools

PAUSE_BYTES = 64 * 1024
"""Received bytes that may wait for a slow reader before reading pauses."""

UNACKED_TIMEOUT_MS = 1_500
"""Time after which unacknowledged bytes end a connection; below the 2 s after
which a consumer of a stream gives up."""

KEEPALIVE_IDLE_S = 2
KEEPALIVE_PROBES = 2
"""An idle connection whose peer vanished ends after about 4 s."""

REQUEST_ID_HEADER = b'x-request-id'

Headers = Sequence[tuple[bytes, bytes]]


def first_header(headers: Headers, name: bytes, default: bytes = b'') -> bytes:
    """Return the first value of a header; *name* is in lower case."""
    return next((value for key, value in headers if key == name), default)


class ConnectFailed(Exception):
    """No connection was made, so nothing was sent."""


class ResponseLost(Exception):
    """The connection ended before the answer was complete.

    :ivar was_sent: whether the peer may have read the request.
    """

    def __init__(self, message: str, was_sent: bool = True) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class _State(enum.Enum):
    IDLE = 'idle'
    HEAD = 'head'
    BODY = 'body'
    BROKEN = 'broken'


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers

    def get(self, name: bytes, default: bytes = b'') -> bytes:
        """Return the first value of a header."""
        return first_header(self.headers, name, default)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as it is sent.

    :ivar head: request line and headers with the empty line.
    :ivar request_id: id that the answer repeats, or empty.
    """

    head: bytes
    body: bytes = b''
    request_id: bytes = b''


def request_head(method: str, path: bytes, headers: Headers) -> bytes:
    """Return the bytes of a request line and its headers."""
    lines = [method.encode('latin-1') + b' ' + path + b' HTTP/1.1']
    lines += [name + b': ' + value for name, value in headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


class HttpConnection(asyncio.Protocol):
    """One connection; carries one request at a time.

    :ivar idle_timeout_s: how long the peer keeps it idle, if it said so.
    :ivar idle_since_s: loop time since which it is idle.
    """

    def __init__(self) -> None:
        self.idle_timeout_s: float | None = None
        self.idle_since_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._state = _State.IDLE
        self._waiter: asyncio.Future[None] | None = None
        self._reset()
        self._keep = True
        self._error = ''
        self._request_id = b''
        self._had_answers = False

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: Head | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._is_foreign = False
        self._is_complete = False
        self._is_framed = False

    @classmethod
    async def open(cls, address: str, timeout_s: float) -> HttpConnection:
        """Connect to ``host:port``; raises ConnectFailed."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(cls, host, int(port))
        except (OSError, TimeoutError, ValueError) as exc:
            raise ConnectFailed(f'{address}: {exc!r}') from exc
        return conn

    @property
    def is_usable(self) -> bool:
        """Return whether a request may be sent on it."""
        return self._state is _State.IDLE and not self._transport.is_closing()

    def close(self) -> None:
        """Close at once; a running request ends at the peer."""
        self._state = _State.BROKEN
        if self._transport is not None:
            self._transport.abort()

    async def send(self, req: Request) -> Head:
        """Send a request and return the head of its answer.

        :raises ResponseLost: there is no answer to this request.
        """
        if not self.is_usable:
            raise ResponseLost('the connection is closed', was_sent=False)
        self._reset()
        self._request_id = req.request_id
        self._state = _State.HEAD
        self._transport.write(req.head + req.body if req.body else req.head)
        while self._head is None:
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Return the next bytes of the body, empty at its end.

        :raises ResponseLost: the body was cut.
        """
        while not self._chunks:
            if self._is_complete:
                self._finish()
                return b''
            await self._wait()
        data = b''.join(self._chunks)
        self._chunks.clear()
        self._buffered = 0
        if self._state is _State.BODY:
            self._transport.resume_reading()
        return data

    async def read_all(self, limit: int) -> bytes:
        """Return the whole body; raises ResponseLost if it is over *limit*."""
        body = bytearray()
        while data := await self.read():
            body += data
            if len(body) > limit:
                self.close()
                raise ResponseLost(f'the answer exceeds {limit} bytes')
        return bytes(body)

    def _finish(self) -> None:
        if self._state is not _State.BODY:
            return
        if self._keep and self._is_framed:
            self._state = _State.IDLE
            self._request_id = b''
            self.idle_since_s = asyncio.get_running_loop().time()
        else:
            self.close()

    async def _wait(self) -> None:
        if self._state is _State.BROKEN:
            raise ResponseLost(self._error or 'the connection ended')
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _break(self, reason: str) -> None:
        self._error = self._error or reason
        self.close()
        self._wake()

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

    def data_received(self, data: bytes) -> None:
        """See :class:`asyncio.Protocol`."""
        if self._state is _State.IDLE:
            # Bytes that answer no request: an extra answer or garbage.
            self._break('bytes without a request')
        elif self._state is not _State.BROKEN:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError as exc:
                # A whole answer stays whole, whatever follows it.
                if self._is_complete:
                    self._keep = False
                else:
                    self._break(f'not HTTP: {exc}')
            if self._buffered > PAUSE_BYTES:
                self._transport.pause_reading()
            self._wake()

    def eof_received(self) -> bool:
        """Take the end of the connection as the end of an unframed body."""
        if (
            self._state is _State.BODY
            and not self._is_framed
            and not self._is_foreign
        ):
            self._is_complete = True
            self._wake()
        elif not self._is_complete:
            self._break('the peer closed the connection')
        self._keep = False
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """See :class:`asyncio.Protocol`."""
        if self._is_complete:
            self._keep = False
            self._wake()
            return
        self._break(f'the connection ended: {exc!r}')

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start an answer; one more than expected ends the connection."""
        if self._is_complete:
            self._keep = False
        else:
            self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        if not self._is_complete:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Take the head, unless it answers another request."""
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._is_foreign = True
            return
        head = Head(status, tuple(self._headers))
        # An answer with another id is a late one to an earlier request of
        # this connection; the right one may follow.
        found = head.get(REQUEST_ID_HEADER)
        self._is_foreign = bool(
            self._request_id and found and found != self._request_id
        )
        if self._is_foreign:
            self._keep = False
            return
        self._is_framed = bool(
            head.get(b'content-length')
            or head.get(b'transfer-encoding')
            or status in (204, 304)
        )
        self._keep = self._keep and self._parser.should_keep_alive()
        self._take_keep_alive(head)
        self._head = head
        self._state = _State.BODY

    def on_body(self, data: bytes) -> None:
        """Collect bytes of the body."""
        if self._head is not None and not self._is_complete:
            self._chunks.append(data)
            self._buffered += len(data)

    def on_message_complete(self) -> None:
        """Mark the answer as whole."""
        if self._is_foreign:
            self._is_foreign = False
        elif self._head is not None:
            self._is_complete = True

    def _take_keep_alive(self, head: Head) -> None:
        for part in head.get(b'keep-alive').split(b','):
            name, _, value = part.strip().partition(b'=')
            if name.lower() == b'timeout' and value.isdigit():
                self.idle_timeout_s = float(value)
