"""One authenticated, multiplexed connection between two processes.

A connection has one reader task. Requests are answered from tasks of their
own, so that a slow one does not hold up the others; one-way messages are
handled in the reader task, in the order in which they arrive. Both ends send
a heartbeat each second (see :mod:`heartbeat`), and :data:`SILENCE_LIMIT_S`
without a byte closes the connection: a connection whose state was lost by
something in between stays open for ever otherwise.
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

SILENCE_LIMIT_S = 3.0
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
"""Messages that carry calls; all others count as control traffic."""

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
    """The connection ended before the reply came."""


class Handlers:
    """Registry of message handlers, filled by decorators.

    ``on_request`` handlers are coroutines that return the reply;
    ``on_one_way`` handlers are plain functions for one-way messages.
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
    """An established connection to a proven peer.

    :ivar echoed_ms: ``sent_at_ms`` of the last heartbeat that the peer is
        known to have received, and with it everything sent before.
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

        :param is_client: whether this side opened it; that side sends
            heartbeats by a timer, the other one answers them.
        """
        self.peer = peer
        self._is_client = is_client
        self._heartbeat_encoder = heartbeat_module.DeltaEncoder()
        self._heartbeat_decoder = heartbeat_module.DeltaDecoder()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.echoed_ms = 0
        self._last_beat_ms: int | None = None
        self._reader = reader
        self._writer = writer
        self._handlers = handlers
        self._heartbeat = heartbeat
        self._request_ids = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[codec.Message]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._recent_requests: collections.deque[int] = collections.deque(
            maxlen=RECENT_REQUESTS
        )
        self._last_received = asyncio.get_running_loop().time()
        self._closed = False
        self._close_reason = ''
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0

    @property
    def is_open(self) -> bool:
        """Return whether messages can still be sent."""
        return not self._closed

    @property
    def close_reason(self) -> str:
        """Return why the connection closed, or ''."""
        return self._close_reason

    @property
    def is_congested(self) -> bool:
        """Return whether a sender should wait in :meth:`drain`."""
        waiting = self._writer.transport.get_write_buffer_size()
        return waiting + self._unsent_bytes > CONGESTED_BYTES

    def send_nowait(self, message: codec.Message) -> None:
        """Send a one-way message without waiting for the socket."""
        self._send(message)

    def send_heartbeat(self) -> None:
        """Send a heartbeat now, with the echo of the peer's last one."""
        beat = self._heartbeat(self)
        beat.echo_sent_at_ms = self._last_beat_ms
        with contextlib.suppress(ConnectionLost):
            self.send_nowait(self._heartbeat_encoder.encode(beat))

    def tick(self) -> None:
        """See :class:`heartbeat.Tickable`."""
        if self._is_client:
            self.send_heartbeat()
        self._check_silence()

    def _check_silence(self) -> None:
        if self._closed:
            return
        loop = asyncio.get_running_loop()
        silent_s = loop.time() - self._last_received
        if silent_s >= SILENCE_LIMIT_S:
            self.close(f'silent for {silent_s:.1f} s')
            self._writer.transport.abort()
        elif silent_s > SILENCE_LIMIT_S - heartbeat_module.PERIOD_S:
            # The next tick would be too late.
            left_s = SILENCE_LIMIT_S - silent_s
            loop.call_later(left_s, self._check_silence)

    async def drain(self) -> None:
        """Wait while the socket is congested.

        :raises ConnectionLost: the connection ended meanwhile.
        """
        self._hand_over()
        try:
            await self._writer.drain()
        except (OSError, RuntimeError) as exc:
            raise ConnectionLost(self._close_reason or repr(exc)) from exc

    async def flush(self) -> None:
        """Wait until everything is handed to the system or it closed."""
        self._hand_over()
        transport = self._writer.transport
        while not self._closed and transport.get_write_buffer_size():
            await asyncio.sleep(FLUSH_POLL_S)

    async def send(self, message: codec.Message) -> None:
        """Send a one-way message and wait while the socket is congested."""
        self._send(message)
        with contextlib.suppress(ConnectionLost):
            await self.drain()

    async def request(
        self, message: codec.Message, timeout_s: float
    ) -> codec.Message:
        """Send a request and return its reply.

        :raises ConnectionLost: the connection ended first.
        :raises TimeoutError: no reply within *timeout_s*.
        :raises Refusal: the peer answered with a Reject.
        """
        request_id = next(self._request_ids)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[request_id] = fut
        try:
            self._send(message, request_id)
            async with asyncio.timeout(timeout_s):
                reply = await fut
        finally:
            self._waiting.pop(request_id, None)
        if isinstance(reply, ttypes.Reject):
            raise errors.Refusal(
                errors.kind_from_wire(reply.kind), reply.message
            )
        return reply

    async def run(self) -> None:
        """Read and handle messages until the connection ends."""
        heartbeat_module.ticker().add(self)
        self.send_heartbeat()
        for callback in self._handlers.open_callbacks:
            callback(self)
        try:
            await self._read_all()
            self.close('closed by the peer')
        except OSError as exc:
            self.close(f'closed by the peer ({type(exc).__name__})')
        except errors.Refusal as exc:
            self._write_reject(0, exc)
            self.close(str(exc))
        except Exception as exc:
            # A fault in one handler ends this connection only; the task that
            # keeps the connection open has to survive it.
            logging.exception('a message handler failed')
            self.close(repr(exc))
        finally:
            heartbeat_module.ticker().remove(self)
            self.close('reader stopped')
            for task in list(self._tasks):
                task.cancel()
            for callback in self._handlers.close_callbacks:
                callback(self)

    async def _read_all(self) -> None:
        loop = asyncio.get_running_loop()
        splitter = codec.FrameSplitter()
        while not self._closed:
            data = await self._reader.read(READ_BYTES)
            if not data:
                return
            self._last_received = loop.time()
            self.bytes_received += len(data)
            for payload in splitter.feed(data):
                self._receive(payload)

    def _receive(self, payload: bytes) -> None:
        received = codec.decode(payload)
        if type(received.message) not in CALL_MESSAGE_TYPES:
            _CONTROL_RECEIVED.inc(len(payload) + codec.LENGTH_BYTES)
        if type(received.message) is ttypes.Heartbeat:
            self._last_beat_ms = received.message.sent_at_ms
            self.echoed_ms = received.message.echo_sent_at_ms or 0
            self._heartbeat_decoder.decode(received.message)
        self._handle(received)
        if type(received.message) is ttypes.Heartbeat and not self._is_client:
            self.send_heartbeat()

    def close(self, reason: str) -> None:
        """Close the connection; waiting requests fail with ConnectionLost."""
        if self._closed:
            return
        self._hand_over()
        self._closed = True
        self._close_reason = reason
        waiting = list(self._waiting.values())
        self._waiting.clear()
        for fut in waiting:
            if not fut.done():
                fut.set_exception(ConnectionLost(reason))
        if not self._writer.transport.is_closing():
            # abort() rather than close(): buffered bytes to a silent peer
            # would keep the transport open for ever.
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
        # uvloop raises RuntimeError on a transport that was reset, which may
        # be before the reader task has noticed.
        if self._writer.transport.is_closing():
            self.close('reset by the peer')
        if self._closed:
            raise ConnectionLost(self._close_reason)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._hand_over)
        self._unsent.append(frame)
        self._unsent_bytes += len(frame)
        self.bytes_sent += len(frame)
        pending = self._writer.transport.get_write_buffer_size()
        if pending + self._unsent_bytes > WRITE_BUFFER_LIMIT_BYTES:
            self.close(f'{pending + self._unsent_bytes} bytes wait to be sent')

    def _hand_over(self) -> None:
        """Write the frames of one turn of the event loop with one call.

        Tokens of many streams that arrive together share a system call.
        """
        if not self._unsent:
            return
        frames, self._unsent = self._unsent, []
        self._unsent_bytes = 0
        if not self._closed and not self._writer.transport.is_closing():
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
            fut = self._waiting.pop(received.request_id, None)
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
            # A repeated frame must not run a request a second time.
            return
        self._recent_requests.append(received.request_id)
        handler = self._handlers.requests.get(type(received.message))
        name = type(received.message).__name__
        if handler is None:
            refusal = errors.Refusal(
                errors.ErrorKind.BAD_FRAME, f'{name} is not served here'
            )
            self._write_reject(received.request_id, refusal)
        elif len(self._tasks) >= MAX_CONCURRENT_REQUESTS:
            refusal = errors.Refusal(
                errors.ErrorKind.OVERLOADED,
                f'{MAX_CONCURRENT_REQUESTS} requests are being handled',
            )
            self._write_reject(received.request_id, refusal)
        else:
            task = asyncio.create_task(self._answer(handler, received))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _answer(
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
    """Connect to *address* (``host:port``) and prove both ends.

    The peer's identity gets the address that was dialled: it is the one that
    works from here, whatever the peer itself listens on.

    :raises OSError, TimeoutError: the peer cannot be reached.
    :raises Refusal: the proof failed.
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
