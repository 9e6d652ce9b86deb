"""TCP relay between two processes, for tests of bad connections.

It runs in the event loop of the test. It can cut connections, let them go
silent for good, refuse new ones, and delay, duplicate, swap or cut single
frames at random with a fixed seed. It reads the length prefix of the peers'
frames and leaves the first frames of each direction alone, which prove the
peers to each other.
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
    """Probabilities for each frame, and the delay of a delayed one."""

    duplicate: float = 0.0
    swap: float = 0.0
    cut: float = 0.0
    delay: float = 0.0
    delay_s: float = 0.05


class Relay:
    """Listens on loopback and forwards to one upstream address.

    :ivar faults: faults in force, may be replaced at any time.
    :ivar is_refusing: whether new connections are closed at once.
    :ivar counts: how often each fault was applied.
    """

    def __init__(self, upstream: str, seed: int) -> None:
        self._upstream = upstream
        self._rng = random.Random(seed)
        self._server: asyncio.Server | None = None
        self._links: set[_Link] = set()
        self.faults = FrameFaults()
        self.is_refusing = False
        self.counts: collections.Counter[str] = collections.Counter()

    async def start(self) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def stop(self) -> None:
        """Stop listening and cut everything."""
        self._server.close()
        self.cut()

    def cut(self) -> None:
        """Abort all connections."""
        for link in list(self._links):
            link.abort()
        self.counts['cut all'] += 1

    def drop_traffic(self) -> None:
        """Swallow everything on the present connections, keep them open."""
        for link in self._links:
            link.is_silent = True
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
        link = _Link((writer, upstream[1]))
        self._links.add(link)
        try:
            await asyncio.gather(
                self._forward(link, reader, upstream[1]),
                self._forward(link, upstream[0], writer),
            )
        finally:
            link.abort()
            self._links.discard(link)

    async def _forward(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        held: bytes = b''
        seen = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                prefix = await reader.readexactly(_LENGTH.size)
                (length,) = _LENGTH.unpack(prefix)
                frame = prefix + await reader.readexactly(length)
                seen += 1
                if link.is_silent:
                    continue
                fault = self._fault() if seen > HANDSHAKE_FRAMES else ''
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
        # A link that went silent does not show one end that the other ended.
        if not link.is_silent:
            link.abort()

    def _fault(self) -> str:
        faults = self.faults
        drawn = self._rng.random()
        for name in ('duplicate', 'swap', 'cut', 'delay'):
            drawn -= getattr(faults, name)
            if drawn < 0:
                self.counts[name] += 1
                return name
        return ''


class _Link:
    """One relayed connection."""

    def __init__(
        self,
        writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
    ) -> None:
        self._writers = writers
        self.is_silent = False

    def abort(self) -> None:
        """Reset both ends."""
        for writer in self._writers:
            writer.transport.abort()
