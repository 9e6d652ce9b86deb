"""A small HTTP/1.1 server and the platform's store for the review's cases.

Only the standard library is used. Every server listens on a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import socket
import struct
import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

STORE_PORT = 8223


class Channel:
    """One accepted connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.last_answer = b''

    def reset(self) -> None:
        """Close the connection with a reset."""
        sock = self.writer.get_extra_info('socket')
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        self.writer.transport.abort()

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self,
        status: int,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Send a response with a length and remember it."""
        self.last_answer = response(status, body, headers)
        await self.send(self.last_answer)


class Request:
    """A request that has been read completely."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        parts = urllib.parse.urlsplit(target)
        self.path = parts.path
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = headers
        self.body = body


Handler = Callable[[Channel, Request], Awaitable[None]]


def response(
    status: int, body: bytes = b'', headers: Mapping[str, str] | None = None
) -> bytes:
    """Encode a response with a length."""
    rows = {'Content-Length': str(len(body))} | dict(headers or {})
    lines = [f'HTTP/1.1 {status} Status'] + [
        f'{name}: {value}' for name, value in rows.items()
    ]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class HttpServer:
    """Serves requests with a length on one address, one at a time each."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.channels: set[Channel] = set()

    async def start(self, ip: str, port: int) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for channel in list(self.channels):
            channel.reset()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        self.channels.add(channel)
        try:
            while True:
                await self._handler(channel, await _read(reader))
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            ConnectionError,
        ):
            pass
        finally:
            self.channels.discard(channel)
            writer.transport.abort()


async def _read(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return Request(method, target, headers, body)


class Store:
    """The platform's store: lists and watches, with a revision counter."""

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 100
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object."""
        self._revision += 1
        item = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'created': 1,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects.setdefault(kind, {})[name] = item
        self._note(kind, item, False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects[kind].pop(name)
        self._revision += 1
        self._note(kind, item, True)

    def _note(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        self._history.append((self._revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, channel: Channel, req: Request) -> None:
        kind = req.path.removeprefix('/objects/')
        document: dict[str, Any] = {}
        if 'watch' in req.query:
            document['events'] = await self._watch(
                kind, int(req.query['watch']), int(req.query['wait_ms'])
            )
        else:
            document['items'] = list(self._objects.get(kind, {}).values())
            document['has_more'] = False
        document['store_revision'] = self._revision
        await channel.answer(
            200,
            json.dumps(document).encode(),
            {'Content-Type': 'application/json', 'Store-Era': '1'},
        )

    async def _watch(
        self, kind: str, revision: int, wait_ms: int
    ) -> list[dict[str, Any]]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_ms / 1000
        while True:
            events = [
                {'object': item, 'removed': removed}
                for number, of_kind, item, removed in self._history
                if of_kind == kind and number > revision
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return events
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue
