"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable


@dataclasses.dataclass
class Request:
    """A request as it was received; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without the query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the fields of the query."""
        text = self.target.partition('?')[2]
        return dict(
            item.partition('=')[::2] for item in text.split('&') if item
        )


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    method, target, _ = first.split(' ')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    try:
        body = await _read_body(reader, headers)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get('content-length', 0)))


def answer(status: int, body: bytes = b'', **headers: str) -> bytes:
    """Return an answer with a length."""
    lines = [f'HTTP/1.1 {status} X', f'Content-Length: {len(body)}']
    lines += [
        f'{name.replace("_", "-")}: {text}' for name, text in headers.items()
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
"""Answers one request; it may close the connection."""


class Server:
    """Serves requests on connections that it keeps open."""

    def __init__(self, ip: str, port: int, handle: Handler) -> None:
        self.address = f'{ip}:{port}'
        self._ip = ip
        self._port = port
        self._handle = handle
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, limit=1 << 20
        )

    async def crash(self) -> None:
        """Refuse connections and reset the open ones."""
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (req := await read_request(reader)) is not None:
                await self._handle(req, reader, writer)
                if writer.is_closing():
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(ConnectionError):
                writer.close()


@dataclasses.dataclass
class Answer:
    """What a client received; status 0 if there was no head."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 10.0,
    source_ip: str | None = None,
) -> Answer:
    """Send one request on a connection of its own."""
    ip, _, port = address.rpartition(':')
    found = Answer(0, {}, b'', False)
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                ip,
                int(port),
                limit=1 << 20,
                local_addr=(source_ip, 0) if source_ip else None,
            )
            rows = {'Content-Length': str(len(body))} | headers
            head = f'{method} {target} HTTP/1.1\r\n' + ''.join(
                f'{name}: {value}\r\n' for name, value in rows.items()
            )
            writer.write(head.encode() + b'\r\n' + body)
            await _read_answer(reader, found)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
    return found


async def _read_answer(reader: asyncio.StreamReader, found: Answer) -> None:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    found.status = int(first.split(' ')[1])
    for line in lines:
        name, _, value = line.partition(':')
        found.headers[name.strip().lower()] = value.strip()
    if 'chunked' in found.headers.get('transfer-encoding', ''):
        while size := int(await reader.readuntil(b'\r\n'), 16):
            found.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif 'content-length' in found.headers:
        size = int(found.headers['content-length'])
        found.body = await reader.readexactly(size)
    else:
        found.body = await reader.read(-1)
    found.is_whole = True
