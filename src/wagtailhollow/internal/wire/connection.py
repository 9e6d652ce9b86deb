"""One authenticated, multiplexed connection between two processes.

A connection has one reader task. Each request is handled in a task of its
own, so that a slow handler does not delay the others; one-way messages are
handled in the reader task, in the order of arrival. Both ends send a heartbeat
each second (see :mod:`heartbeat`). The connection is closed when nothing has
been received for :data:`RECEIVE_TIMEOUT_S`: if a device on the path, such as a
firewall, loses the connection's state, neither end gets an error, and the
connection would stay open for ever.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import ssl
from collections.abc import Awaitable, Callable

from absl import logging

from ... import errors
from ..observability import metrics
from . import auth, codec
from . import heartbeat as heartbeat_module
from .gen import ttypes

RECEIVE_TIMEOUT_S = 3.0
MAX_CONCURRENT_REQUESTS = 1024
RECENT_REQUESTS = 32
WRITE_BUFFER_LIMIT_BYTES = 4 * 1024 * 1024
CALL_MESSAGE_TYPES = frozenset(
    {
        ttypes.Dispatch,
        ttypes.ResponseHead,
        ttypes.Chunk,
        ttypes.End,
        ttypes.Abort,
    }
)
"""Types of messages that carry calls; all others are control traffic."""

FLUSH_POLL_S = 0.02
READ_BYTES = 256 * 1024
CONGESTED_BYTES = 64 * 1024

_CONTROL_SENT = metrics.peer_bytes.labels('sent')
_CONTROL_RECEIVED = metrics.peer_bytes.labels('received')

RequestHandler = Callable[
    ['PeerConnection', codec.Message], Awaitable[codec.Message]
]
OneWayHandler = Callable[['PeerConnection', codec.Message], None]
HeartbeatSource = Callable[['PeerConnection'], ttypes.Heartbeat]


class ConnectionLost(Exception):
    """The connection was closed before the reply arrived."""


class Handlers:
    """Registry of message handlers and connection callbacks.

    The decorator ``on_request`` registers coroutines that return the reply,
    ``on_one_way`` plain functions for messages without a reply.
    """

    def __init__(self) -> None:
        self.requests: dict[type, RequestHandler] = {}
        self.one_way: dict[type, OneWayHandler] = {}
        self.open_callbacks: list[Callable[[PeerConnection], None]] = []
        self.close_callbacks: list[Callable[[PeerConnection], None]] = []

    def on_request(
        self, message_type: type
    ) -> Callable[[RequestHandler], RequestHandler]:
        """Register a coroutine as the handler of a request type."""

        def register(handler: RequestHandler) -> RequestHandler:
            self.requests[message_type] = handler
            return handler

        return register

    def on_one_way(
        self, message_type: type
    ) -> Callable[[OneWayHandler], OneWayHandler]:
        """Register a function as the handler of a one-way message type."""

        def register(handler: OneWayHandler) -> OneWayHandler:
            self.one_way[message_type] = handler
            return handler

        return register


class PeerConnection:
    """An established connection to an authenticated peer.

    :ivar echoed_ms: ``sent_at_ms`` of the last heartbeat whose receipt the
        peer has confirmed; everything sent earlier has arrived as well.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: auth.Identity,
        handlers: Handlers,
        heartbeat: HeartbeatSource,
        is_client: bool = False,
    ) -> None:
        """Create a connection.

        :param is_client: whether this side opened the connection. The client
            sends heartbeats on a timer, the server replies to each.
        """
        self.peer = peer
        self._is_client = is_client
        self._heartbeat_encoder = heartbeat_module.DeltaEncoder()
        self._heartbeat_decoder = heartbeat_module.DeltaDecoder()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.echoed_ms = 0
        self._peer_sent_at_ms: int | None = None
        self._reader = reader
        self._writer = writer
        self._handlers = handlers
        self._build_heartbeat = heartbeat
        self._request_ids = itertools.count(1)
        self._pending_requests: dict[int, asyncio.Future[codec.Message]] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._recent_requests: collections.deque[int] = collections.deque(
            maxlen=RECENT_REQUESTS
        )
        self._last_received_s = asyncio.get_running_loop().time()
        self._is_closed = False
        self._close_reason = ''
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0

    @property
    def is_open(self) -> bool:
        """Return whether messages can still be sent."""
        return not self._is_closed

    @property
    def close_reason(self) -> str:
        """Return why the connection closed, or ''."""
        return self._close_reason

    @property
    def is_congested(self) -> bool:
        """Return whether a sender should await :meth:`drain`."""
        waiting = self._writer.transport.get_write_buffer_size()
        return waiting + self._unsent_bytes > CONGESTED_BYTES

    def send_nowait(self, message: codec.Message) -> None:
        """Queue a one-way message without waiting for the socket.

        :raises ConnectionLost: the connection is closed.
        """
        self._send(message)

    def send_heartbeat(self) -> None:
        """Send a heartbeat with the timestamp of the peer's last one."""
        message = self._build_heartbeat(self)
        message.echo_sent_at_ms = self._peer_sent_at_ms
        with contextlib.suppress(ConnectionLost):
            self.send_nowait(self._heartbeat_encoder.encode(message))

    def tick(self) -> None:
        """See :class:`heartbeat.Tickable`."""
        if self._is_client:
            self.send_heartbeat()
        self._check_receive_timeout()

    def _check_receive_timeout(self) -> None:
        if self._is_closed:
            return
        loop = asyncio.get_running_loop()
        idle_s = loop.time() - self._last_received_s
        if idle_s >= RECEIVE_TIMEOUT_S:
            self.close(f'nothing received for {idle_s:.1f} s')
            self._writer.transport.abort()
        elif idle_s > RECEIVE_TIMEOUT_S - heartbeat_module.PERIOD_S:
            # The limit is reached before the next tick.
            remaining_s = RECEIVE_TIMEOUT_S - idle_s
            loop.call_later(remaining_s, self._check_receive_timeout)

    async def drain(self) -> None:
        """Wait until the write buffer is below its high-water mark.

        :raises ConnectionLost: the connection was closed meanwhile.
        """
        self._write_unsent()
        try:
            await self._writer.drain()
        except (OSError, RuntimeError) as exc:
            raise ConnectionLost(self._close_reason or repr(exc)) from exc

    async def flush(self) -> None:
        """Wait until all data is passed to the kernel or the socket closes."""
        self._write_unsent()
        transport = self._writer.transport
        while not self._is_closed and transport.get_write_buffer_size():
            await asyncio.sleep(FLUSH_POLL_S)

    async def send(self, message: codec.Message) -> None:
        """Send a one-way message and await :meth:`drain`."""
        self._send(message)
        with contextlib.suppress(ConnectionLost):
            await self.drain()

    async def request(
        self, message: codec.Message, timeout_s: float
    ) -> codec.Message:
        """Send a request and return its reply.

        :raises ConnectionLost: the connection was closed before the reply.
        :raises TimeoutError: no reply within *timeout_s*.
        :raises Refusal: the peer replied with a Reject.
        """
        request_id = next(self._request_ids)
        fut = asyncio.get_running_loop().create_future()
        self._pending_requests[request_id] = fut
        try:
            self._send(message, request_id)
            async with asyncio.timeout(timeout_s):
                reply = await fut
        finally:
            self._pending_requests.pop(request_id, None)
        if isinstance(reply, ttypes.Reject):
            raise errors.Refusal(
                errors.kind_from_wire(reply.kind), reply.message
            )
        return reply

    async def run(self) -> None:
        """Read and handle messages until the connection is closed."""
        heartbeat_module.ticker().add(self)
        self.send_heartbeat()
        for callback in self._handlers.open_callbacks:
            callback(self)
        try:
            await self._read_frames()
            self.close('closed by the peer')
        except OSError as exc:
            self.close(f'closed by the peer ({type(exc).__name__})')
        except errors.Refusal as exc:
            self._write_reject(0, exc)
            self.close(str(exc))
        except Exception as exc:
            # An exception in a handler closes only this connection: the task
            # that reconnects to the peer calls run() and must not end.
            logging.exception('message handler failed; closing the connection')
            self.close(repr(exc))
        finally:
            heartbeat_module.ticker().remove(self)
            self.close('reader stopped')
            for task in list(self._handler_tasks):
                task.cancel()
            for callback in self._handlers.close_callbacks:
                callback(self)

    async def _read_frames(self) -> None:
        loop = asyncio.get_running_loop()
        splitter = codec.FrameSplitter()
        while not self._is_closed:
            data = await self._reader.read(READ_BYTES)
            if not data:
                return
            self._last_received_s = loop.time()
            self.bytes_received += len(data)
            for payload in splitter.feed(data):
                self._receive(payload)

    def _receive(self, payload: bytes) -> None:
        received = codec.decode(payload)
        if type(received.message) not in CALL_MESSAGE_TYPES:
            _CONTROL_RECEIVED.inc(len(payload) + codec.LENGTH_BYTES)
        if type(received.message) is ttypes.Heartbeat:
            self._peer_sent_at_ms = received.message.sent_at_ms
            self.echoed_ms = received.message.echo_sent_at_ms or 0
            self._heartbeat_decoder.decode(received.message)
        self._handle(received)
        if type(received.message) is ttypes.Heartbeat and not self._is_client:
            self.send_heartbeat()

    def close(self, reason: str) -> None:
        """Close the connection; pending requests raise ConnectionLost."""
        if self._is_closed:
            return
        self._write_unsent()
        self._is_closed = True
        self._close_reason = reason
        waiting = list(self._pending_requests.values())
        self._pending_requests.clear()
        for fut in waiting:
            if not fut.done():
                fut.set_exception(ConnectionLost(reason))
        if not self._writer.transport.is_closing():
            # close() alone waits until the buffer is written, which never
            # happens if the peer no longer reads; abort() discards the rest.
            self._writer.close()
            asyncio.get_running_loop().call_later(
                1.0, self._writer.transport.abort
            )

    def _send(
        self,
        message: codec.Message,
        request_id: int = 0,
        is_reply: bool = False,
    ) -> None:
        frame = codec.encode(message, request_id, is_reply)
        self._write(frame)
        if type(message) not in CALL_MESSAGE_TYPES:
            _CONTROL_SENT.inc(len(frame))

    def _write(self, frame: bytes) -> None:
        # After a reset, uvloop raises RuntimeError on each write; the reader
        # task may not have seen the reset yet.
        if self._writer.transport.is_closing():
            self.close('reset by the peer')
        if self._is_closed:
            raise ConnectionLost(self._close_reason)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._write_unsent)
        self._unsent.append(frame)
        self._unsent_bytes += len(frame)
        self.bytes_sent += len(frame)
        buffered = self._writer.transport.get_write_buffer_size()
        if buffered + self._unsent_bytes > WRITE_BUFFER_LIMIT_BYTES:
            self.close(f'{buffered + self._unsent_bytes} bytes are unsent')

    def _write_unsent(self) -> None:
        """Write all frames of one event loop iteration in one system call.

        Chunks of many streams are often queued in the same iteration.
        """
        if not self._unsent:
            return
        frames, self._unsent = self._unsent, []
        self._unsent_bytes = 0
        if not self._is_closed and not self._writer.transport.is_closing():
            self._writer.write(b''.join(frames))

    def _write_reject(self, request_id: int, exc: errors.Refusal) -> None:
        with contextlib.suppress(ConnectionLost):
            self._send(
                ttypes.Reject(exc.kind.value, exc.message),
                request_id,
                is_reply=True,
            )

    def _handle(self, received: codec.Received) -> None:
        if received.is_reply:
            fut = self._pending_requests.pop(received.request_id, None)
            if fut is not None and not fut.done():
                fut.set_result(received.message)
        elif received.request_id:
            self._handle_request(received)
        else:
            handler = self._handlers.one_way.get(type(received.message))
            if handler is not None:
                handler(self, received.message)

    def _handle_request(self, received: codec.Received) -> None:
        if received.request_id in self._recent_requests:
            # A duplicated frame must not execute a request twice.
            return
        self._recent_requests.append(received.request_id)
        handler = self._handlers.requests.get(type(received.message))
        name = type(received.message).__name__
        if handler is None:
            refusal = errors.Refusal(
                errors.ErrorKind.BAD_FRAME,
                f'no handler for {name} in this process',
            )
            self._write_reject(received.request_id, refusal)
        elif len(self._handler_tasks) >= MAX_CONCURRENT_REQUESTS:
            refusal = errors.Refusal(
                errors.ErrorKind.OVERLOADED,
                f'{MAX_CONCURRENT_REQUESTS} requests are already in progress',
            )
            self._write_reject(received.request_id, refusal)
        else:
            task = asyncio.create_task(self._reply(handler, received))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

    async def _reply(
        self, handler: RequestHandler, received: codec.Received
    ) -> None:
        try:
            reply = await handler(self, received.message)
            self._send(reply, received.request_id, is_reply=True)
        except errors.Refusal as exc:
            self._write_reject(received.request_id, exc)
        except ConnectionLost:
            pass
        except Exception as exc:
            logging.exception('handler of %r failed', type(received.message))
            refusal = errors.Refusal(errors.ErrorKind.INTERNAL, repr(exc))
            self._write_reject(received.request_id, refusal)


async def connect(
    address: str,
    local: auth.Identity,
    key_ring: auth.KeyRing,
    handlers: Handlers,
    heartbeat: HeartbeatSource,
    timeout_s: float = 3.0,
    tls: ssl.SSLContext | None = None,
) -> PeerConnection:
    """Connect to *address* (``host:port``) and authenticate both ends.

    *address* replaces the listening address in the peer's identity, which may
    not be reachable from this host.

    :raises OSError, TimeoutError: the peer cannot be reached.
    :raises Refusal: the handshake failed.
    """
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            host, int(port), ssl=tls
        )
    try:
        peer = await auth.handshake(reader, writer, local, key_ring, True)
    except BaseException:
        writer.transport.abort()
        raise
    peer = dataclasses.replace(peer, address=address)
    return PeerConnection(reader, writer, peer, handlers, heartbeat, True)
