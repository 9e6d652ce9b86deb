"""Accepts peer connections and runs one task for each."""

from __future__ import annotations

import asyncio
import contextlib
import ssl

from absl import logging

from ... import errors
from . import auth, codec, connection
from .gen import ttypes

MAX_PEER_CONNECTIONS = 512
"""The agents of a group of 256 ranks connect to each other."""


class PeerServer:
    """Listens for peers and keeps their open connections by node name."""

    def __init__(
        self,
        local: auth.Identity,
        key_ring: auth.KeyRing,
        handlers: connection.Handlers,
        heartbeat: connection.HeartbeatSource,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._tls = tls
        self._local = local
        self._key_ring = key_ring
        self._handlers = handlers
        self._heartbeat = heartbeat
        self._server: asyncio.Server | None = None
        self._count = 0
        self._connections: set[connection.PeerConnection] = set()

    @property
    def connections(self) -> list[connection.PeerConnection]:
        """Return the open connections; a peer may have several."""
        return [conn for conn in self._connections if conn.is_open]

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port, which the system chooses for 0."""
        self._server = await asyncio.start_server(
            self._accept, host, port, ssl=self._tls
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for conn in self.connections:
            conn.close('this process stops')

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._count += 1
        try:
            if self._count > MAX_PEER_CONNECTIONS:
                raise errors.Refusal(
                    errors.ErrorKind.OVERLOADED,
                    f'{MAX_PEER_CONNECTIONS} peers are connected',
                )
            peer = await auth.handshake(
                reader, writer, self._local, self._key_ring, False
            )
            await self._run(reader, writer, peer)
        except errors.Refusal as exc:
            logging.warning('peer refused: %s', exc)
            # uvloop raises RuntimeError on a transport that was reset.
            with contextlib.suppress(OSError, RuntimeError):
                reject = ttypes.Reject(exc.kind.value, exc.message)
                writer.write(codec.encode(reject))
        except (
            OSError,
            RuntimeError,
            TimeoutError,
            asyncio.IncompleteReadError,
        ) as exc:
            logging.info('peer left before its proof: %r', exc)
        finally:
            self._count -= 1
            writer.close()

    async def _run(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: auth.Identity,
    ) -> None:
        conn = connection.PeerConnection(
            reader, writer, peer, self._handlers, self._heartbeat
        )
        self._connections.add(conn)
        try:
            await conn.run()
        finally:
            self._connections.discard(conn)
