"""TCP relay between two processes that injects network faults.

It runs in the event loop of the test. It can abort connections, drop all
further traffic on them, refuse new ones, and delay, duplicate, swap or
truncate single frames at random with a fixed seed. It parses the length
prefix of the peers' frames and applies no frame faults to the first frames of
each direction, in which the peers authenticate each other.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import random
import struct

HANDSHAKE_FRAMES = 2
_LENGTH = struct.Struct('>I')


@dataclasses.dataclass(frozen=True)
class FrameFaults:
    """Probability of each fault of a frame.

    :ivar swap: sends the frame after the next one of its direction.
    :ivar cut: sends half of the frame and aborts the connection.
    :ivar delay_s: how long a delayed frame is held back.
    """

    duplicate: float = 0.0
    swap: float = 0.0
    cut: float = 0.0
    delay: float = 0.0
    delay_s: float = 0.05


class Relay:
    """Listens on loopback and forwards to one upstream address.

    :ivar faults: frame faults, which may be replaced at any time.
    :ivar is_refusing: whether new connections are aborted at once.
    :ivar counts: number of times that each fault was applied.
    """

    def __init__(self, upstream: str, seed: int) -> None:
        self._upstream = upstream
        self._rng = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._connections: set[_RelayedConnection] = set()
        self.faults = FrameFaults()
        self.is_refusing = False
        self.counts: collections.Counter[str] = collections.Counter()

    async def start(self) -> str:
        """Start listening and return the address, ``host:port``."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        self.cut()

    def cut(self) -> None:
        """Abort all connections."""
        for relayed in list(self._connections):
            relayed.abort()
        self.counts['cut all'] += 1

    def drop_traffic(self) -> None:
        """Drop all traffic on the present connections, but keep them open."""
        for relayed in self._connections:
            relayed.is_dropping = True
        self.counts['silent'] += 1

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_refusing:
            writer.transport.abort()
            return
        host, _, port = self._upstream.rpartition(':')
        try:
            upstream = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        relayed = _RelayedConnection((writer, upstream[1]))
        self._connections.add(relayed)
        try:
            await asyncio.gather(
                self._forward(relayed, reader, upstream[1]),
                self._forward(relayed, upstream[0], writer),
            )
        finally:
            relayed.abort()
            self._connections.discard(relayed)

    async def _forward(
        self,
        relayed: _RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        held: bytes = b''
        frame_count = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                prefix = await reader.readexactly(_LENGTH.size)
                (length,) = _LENGTH.unpack(prefix)
                frame = prefix + await reader.readexactly(length)
                frame_count += 1
                if relayed.is_dropping:
                    continue
                fault = (
                    self._draw_fault()
                    if frame_count > HANDSHAKE_FRAMES
                    else ''
                )
                if fault == 'cut':
                    writer.write(frame[: len(frame) // 2])
                    await writer.drain()
                    break
                if fault == 'delay':
                    await asyncio.sleep(self.faults.delay_s)
                if fault == 'swap' and not held:
                    held = frame
                    continue
                writer.write(frame + held)
                held = b''
                if fault == 'duplicate':
                    writer.write(frame)
                await writer.drain()
        # A connection that drops traffic must not pass on that one end closed.
        if not relayed.is_dropping:
            relayed.abort()

    def _draw_fault(self) -> str:
        faults = self.faults
        remainder = self._rng.random()
        for name in ('duplicate', 'swap', 'cut', 'delay'):
            remainder -= getattr(faults, name)
            if remainder < 0:
                self.counts[name] += 1
                return name
        return ''


class _RelayedConnection:
    """The two TCP connections between a client and the upstream."""

    def __init__(
        self,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        self._writers = writers
        self.is_dropping = False

    def abort(self) -> None:
        """Abort both TCP connections."""
        for writer in self._writers:
            writer.transport.abort()
