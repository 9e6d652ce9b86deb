"""UDP endpoint for thrift messages.

Each message states what holds at its sender and is sent again while it
matters, so a lost one costs a period and no connection can go silent.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

_LOG = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 8_192

Handler = Callable[[Any, str], None]


class Endpoint(asyncio.DatagramProtocol):
    """Sends and receives messages; a byte in front names their type."""

    def __init__(self, types: tuple[type, ...]) -> None:
        """Create an endpoint.

        :param types: message types; their order is part of the protocol.
        """
        self._types = types
        self._codes = {cls: code for code, cls in enumerate(types)}
        self._handlers: dict[type, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def add_handler(self, message_type: type, handler: Handler) -> None:
        """Call *handler* with each message and its sender's IP address."""
        self._handlers[message_type] = handler

    async def open(self, ip: str, port: int) -> None:
        """Bind the address; raises OSError."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    def close(self) -> None:
        """Release the address."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: Any, ips: Iterable[str], port: int) -> None:
        """Send a message to some hosts; it may be lost."""
        if self._transport is None:
            return
        data = self.encode(message)
        for ip in ips:
            self._transport.sendto(data, (ip, port))

    def encode(self, message: Any) -> bytes:
        """Return the bytes of a message."""
        buffer = TTransport.TMemoryBuffer()
        message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
        return bytes((self._codes[type(message)],)) + buffer.getvalue()

    def decode(self, data: bytes) -> Any:
        """Return the message; raises ValueError."""
        if not data or data[0] >= len(self._types):
            raise ValueError('unknown message type')
        message = self._types[data[0]]()
        buffer = TTransport.TMemoryBuffer(data[1:])
        try:
            message.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
        except Exception as exc:
            # The library raises whatever its arithmetic runs into.
            raise ValueError(f'unreadable message: {exc!r}') from exc
        return message

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """See :class:`asyncio.DatagramProtocol`."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See :class:`asyncio.DatagramProtocol`."""
        if len(data) > MAX_MESSAGE_BYTES:
            return
        try:
            message = self.decode(data)
        except ValueError as exc:
            _LOG.warning('datagram of %s dropped: %s', addr[0], exc)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore: the peer may be down, which its silence shows anyway."""
