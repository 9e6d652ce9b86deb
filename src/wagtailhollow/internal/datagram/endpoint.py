"""UDP endpoint for thrift messages.

Each message states the current state of its sender and is repeated while it is
relevant, so a lost datagram costs one period, and there is no connection that
could hang.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

_LOG = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 60_000
"""The map of 256 ranks with 48 experts each takes up to 25 KB."""

Handler = Callable[[Any, str], None]
_IP_BYTES = 4


class Endpoint(asyncio.DatagramProtocol):
    """Sends and receives messages; the first byte is the message type."""

    def __init__(self, types: tuple[type, ...]) -> None:
        """Create an endpoint.

        :param types: message types; a type's index is its code on the wire.
        """
        self._types = types
        self._type_codes = {cls: code for code, cls in enumerate(types)}
        self._handlers: dict[type, Handler] = {}
        self._transport: asyncio.DatagramTransport | None = None

    def add_handler(self, message_type: type, handler: Handler) -> None:
        """Register a handler, called with message and sender's IP address."""
        self._handlers[message_type] = handler

    async def open(self, ip: str, port: int) -> None:
        """Bind the address; raises OSError."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: Any, ips: Iterable[str], port: int) -> None:
        """Send a message to hosts, without guarantee of delivery."""
        if self._transport is None:
            return
        data = self.encode(message)
        for ip in ips:
            self._transport.sendto(data, (ip, port))

    def encode(self, message: Any) -> bytes:
        """Return the datagram for a message."""
        buffer = TTransport.TMemoryBuffer()
        message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
        return bytes((self._type_codes[type(message)],)) + buffer.getvalue()

    def decode(self, data: bytes) -> Any:
        """Decode a datagram; raises ValueError for a malformed one."""
        if not data or data[0] >= len(self._types):
            raise ValueError('empty datagram or unknown message type')
        message = self._types[data[0]]()
        buffer = TTransport.TMemoryBuffer(data[1:])
        try:
            message.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
        except Exception as exc:
            # For malformed input the library raises many types of exceptions.
            raise ValueError(f'malformed message: {exc!r}') from exc
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
            _LOG.warning('datagram from %s dropped: %s', addr[0], exc)
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message, addr[0])

    def error_received(self, exc: Exception) -> None:
        """Ignore: an unreachable peer is detected by its missing messages."""


def ip_of(address: str) -> str:
    """Return the IP address of ``host:port``."""
    return address.rpartition(':')[0]


def pack_ips(ips: Iterable[str]) -> bytes:
    """Encode IPv4 addresses, four bytes each."""
    return b''.join(map(socket.inet_aton, ips))


def unpack_ips(data: bytes) -> list[str]:
    """Decode IPv4 addresses; an incomplete one at the end is dropped."""
    return [
        socket.inet_ntoa(data[start : start + _IP_BYTES])
        for start in range(0, len(data) - _IP_BYTES + 1, _IP_BYTES)
    ]
