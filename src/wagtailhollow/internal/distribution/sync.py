"""Synchronises documents between peers: versions, deltas and fetches."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Iterable

from absl import logging

from ... import errors
from ..wire import connection
from ..wire.gen import ttypes
from . import document

FETCH_TIMEOUT_S = 2.0


class DocumentSync:
    """Exchanges documents with peers over their connections.

    Heartbeats and dispatches carry document versions. A node that receives a
    newer version than its own fetches the change from the sender.
    """

    def __init__(
        self,
        documents: dict[str, document.VersionedDocument],
        handlers: connection.Handlers,
    ) -> None:
        self._documents = documents
        self._fetching: set[tuple[str, str]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        handlers.on_request(ttypes.DocumentFetch)(self._handle_fetch)
        handlers.on_one_way(ttypes.DocumentDelta)(self._apply_delta)

    def versions(self) -> list[ttypes.DocumentVersion]:
        """Return the version of each document, to send in a heartbeat."""
        return [
            ttypes.DocumentVersion(name, item.version)
            for name, item in self._documents.items()
        ]

    def fetch_newer(
        self,
        conn: connection.PeerConnection,
        versions: list[ttypes.DocumentVersion],
    ) -> None:
        """Fetch the documents of which the peer has a newer version."""
        for seen in versions:
            known = self._documents.get(seen.name)
            if known is not None and seen.version > known.version:
                self._start_fetch(conn, seen.name)

    def push(
        self, conns: Iterable[connection.PeerConnection], name: str
    ) -> None:
        """Send the latest change of a document to peers, unrequested."""
        change = self._documents[name].last_change()
        if change is None:
            return
        message = encode_delta(name, change)
        for conn in conns:
            with contextlib.suppress(connection.ConnectionLost):
                conn.send_nowait(message)

    async def fetch(self, conn: connection.PeerConnection, name: str) -> None:
        """Update a document to the version of the peer."""
        item = self._documents[name]
        reply = await conn.request(
            ttypes.DocumentFetch(name, item.version), FETCH_TIMEOUT_S
        )
        self._apply_delta(conn, reply)

    def _start_fetch(self, conn: connection.PeerConnection, name: str) -> None:
        # Fetches are deduplicated per peer, so that a frozen peer does not
        # block a fetch from another one.
        fetching = (name, conn.peer.node)
        if fetching in self._fetching:
            return
        self._fetching.add(fetching)
        task = asyncio.create_task(self._fetch_and_log_failure(conn, name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_and_log_failure(
        self, conn: connection.PeerConnection, name: str
    ) -> None:
        try:
            await self.fetch(conn, name)
        except (
            connection.ConnectionLost,
            TimeoutError,
            errors.Refusal,
        ) as exc:
            logging.info(
                'fetch of %s from %s failed: %r', name, conn.peer.node, exc
            )
        finally:
            self._fetching.discard((name, conn.peer.node))

    async def _handle_fetch(
        self, conn: connection.PeerConnection, message: ttypes.DocumentFetch
    ) -> ttypes.DocumentDelta:
        item = self._documents.get(message.name)
        if item is None:
            raise errors.Refusal(
                errors.ErrorKind.BAD_REQUEST,
                f'no document named {message.name!r}',
            )
        return encode_delta(
            message.name, item.changes_since(message.have_version)
        )

    def _apply_delta(
        self, conn: connection.PeerConnection, message: ttypes.DocumentDelta
    ) -> None:
        item = self._documents.get(message.name)
        if item is None:
            return
        change = document.Change(
            message.from_version,
            message.to_version,
            json.loads(message.rows),
            tuple(message.removed),
        )
        if not item.apply(change) and change.to_version > item.version:
            self._start_fetch(conn, message.name)


def encode_delta(name: str, change: document.Change) -> ttypes.DocumentDelta:
    """Encode *change* as a message."""
    return ttypes.DocumentDelta(
        name,
        change.from_version,
        change.to_version,
        json.dumps(change.rows, separators=(',', ':')).encode(),
        list(change.removed),
    )
