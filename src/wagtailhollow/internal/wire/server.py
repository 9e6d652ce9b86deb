"""Server side of peer connections, with one task per connection."""

from __future__ import annotations

import asyncio
import contextlib
import ssl

from absl import logging

from ... import errors
from . import auth, codec, connection
from .gen import ttypes

MAX_PEER_CONNECTIONS = 512
"""Enough for the agents of a group of 256 ranks, which all connect to each
other."""


class PeerServer:
    """Accepts, authenticates and serves peer connections."""

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
        self._connection_count = 0
        self._connections: set[connection.PeerConnection] = set()

    @property
    def connections(self) -> list[connection.PeerConnection]:
        """Return the open connections; one peer may have several."""
        return [conn for conn in self._connections if conn.is_open]

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port; with port 0 the system assigns one."""
        self._server = await asyncio.start_server(
            self._accept, host, port, ssl=self._tls
        )
        return self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for conn in self.connections:
            conn.close('process is shutting down')

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connection_count += 1
        try:
            if self._connection_count > MAX_PEER_CONNECTIONS:
                raise errors.Refusal(
                    errors.ErrorKind.OVERLOADED,
                    f'at the limit of {MAX_PEER_CONNECTIONS} peer connections',
                )
            peer = await auth.handshake(
                reader, writer, self._local, self._key_ring, False
            )
            await self._run(reader, writer, peer)
        except errors.Refusal as exc:
            logging.warning('peer connection refused: %s', exc)
            # uvloop raises RuntimeError when writing to a reset transport.
            with contextlib.suppress(OSError, RuntimeError):
                reject = ttypes.Reject(exc.kind.value, exc.message)
                writer.write(codec.encode(reject))
        except (
            OSError,
            RuntimeError,
            TimeoutError,
            asyncio.IncompleteReadError,
        ) as exc:
            logging.info('handshake of a peer not completed: %r', exc)
        finally:
            self._connection_count -= 1
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
