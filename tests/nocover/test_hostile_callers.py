"""Callers that keep to no limit, against an entry as a process.

The load pattern: a crowd of callers that send heads of very many lines,
trailers or bodies without end, or nothing, and stay connected. The entry has
to stay within the memory of its host, to keep its descriptors bounded and to
serve an ordinary call afterwards.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import pathlib
import tempfile

import aiohttp
import pytest

from proof import direct_soak
from standins import direct_deployment

CALLERS = 200
MEMORY_MB = 96
MAX_FILES = 400
MAX_BODY_BYTES = 4 * 1024 * 1024
HOLD_S = 4.0
LEFT_FILES = 20
"""Descriptors beyond those before the crowd that may stay open: connections to
targets and to the store."""

PIECE_BYTES = 16 * 1024

HEAD = (
    f'POST /once/p HTTP/1.1\r\nHost: {direct_deployment.HOST_NAME}\r\n'
    f'X-Request-Id: r\r\nX-Key: {direct_deployment.API_KEY}\r\n'
    'X-Deadline-Ms: 60000\r\n'
).encode()
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'%x\r\n%s\r\n' % (PIECE_BYTES, b'a' * PIECE_BYTES)
LINES_BYTES = 15_000


def lines(line):
    """Return header lines of the size that a head may have."""
    return line * (LINES_BYTES // len(line))


def once(data):
    """Send *data* and then nothing more."""
    return [data]


def without_end(start, piece):
    """Send *start* and then *piece* again and again."""
    return itertools.chain([start], itertools.repeat(piece))


KINDS = {
    'trailers without end': lambda: without_end(
        CHUNKED + b'2\r\nab\r\n0\r\n', b'a: b\r\n' * 1_000
    ),
    'chunks without end': lambda: without_end(CHUNKED, CHUNK),
    'body without end': lambda: without_end(
        HEAD + b'Content-Length: 99999999999\r\n\r\n', b'a' * PIECE_BYTES
    ),
    'announced body': lambda: once(
        HEAD + b'Content-Length: 99999999999\r\n\r\n' + b'a' * 100_000
    ),
    'short lines': lambda: once(
        HEAD + lines(b'a:\r\n') + b'Content-Length: 9\r\n\r\n'
    ),
    'odd lines': lambda: once(
        HEAD + lines(b'x1:\t \r\n') + b'Content-Length: 9\r\n\r\n'
    ),
    'large bodies held back': lambda: once(
        HEAD
        + b'Content-Length: %d\r\n\r\n' % MAX_BODY_BYTES
        + b'a' * (MAX_BODY_BYTES - 1)
    ),
    'half a head': lambda: once(HEAD),
    'nothing': lambda: once(b''),
}


async def hold(ip, pieces):
    """Send pieces until the entry closes the connection or the time is up."""
    with contextlib.suppress(TimeoutError, ConnectionError):
        async with asyncio.timeout(HOLD_S):
            reader, writer = await asyncio.open_connection(ip, 8227)
            try:
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                    await asyncio.sleep(0)
                while await reader.read(PIECE_BYTES):
                    pass
            finally:
                writer.transport.abort()


async def call_is_answered(ip):
    """Send an ordinary call; return whether its answer is whole."""
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f'http://{ip}:8227/once/p',
            data=b'{"n": 1}',
            headers={
                'Host': direct_deployment.HOST_NAME,
                'X-Request-Id': 'ordinary',
                'X-Key': direct_deployment.API_KEY,
                'X-Deadline-Ms': '20000',
            },
        ) as resp,
    ):
        return resp.status == 200 and await resp.read() == b'answer to /once/p'


async def wait_for_files(entry, most):
    """Wait until the entry has closed the connections of the crowd."""
    async with asyncio.timeout(60):
        while entry.open_files() > most:
            await asyncio.sleep(0.1)


async def meet_crowd(pieces):
    """Return what an entry shows that has met a crowd.

    :return: whether it has been running all the while, its most memory in
        bytes, its most descriptors, and whether it answers a call afterwards.
    """
    store = direct_deployment.ObjectStore()
    engine = direct_deployment.Engine(
        'i-plain', direct_deployment.PLAIN_SERVICE
    )
    document = direct_deployment.manifest(timeout_ms=30_000)
    document['limits']['max_body_bytes'] = MAX_BODY_BYTES
    await store.server.start()
    await engine.server.start()
    store.put('config', 'main', document)
    store.put('servers', engine.name, engine.registration())
    with tempfile.TemporaryDirectory() as folder:
        entry = direct_soak.EntryProcess(
            store.server.address,
            pathlib.Path(folder),
            {'memory_mb': MEMORY_MB, 'max_fds': MAX_FILES},
        )
        await entry.start()
        try:
            await entry.wait_until_ready()
            files = entry.open_files()
            crowd = asyncio.gather(
                *(hold(entry.ip, pieces()) for _ in range(CALLERS))
            )
            most_files = files
            while not crowd.done() and entry.is_running:
                most_files = max(most_files, entry.open_files())
                await asyncio.wait({crowd}, timeout=0.2)
            await crowd
            await wait_for_files(entry, files + LEFT_FILES)
            is_answered = await call_is_answered(entry.ip)
            return (
                entry.is_running,
                entry.peak_bytes(),
                most_files,
                is_answered,
            )
        finally:
            await entry.stop()
            await engine.server.stop()
            await store.server.stop()


@pytest.mark.parametrize('kind', KINDS)
def test_entry_bears_callers_that_keep_to_no_limit(kind):
    """Guards against callers that use up the memory of an entry."""
    is_running, peak, files, is_answered = asyncio.run(meet_crowd(KINDS[kind]))
    assert is_running
    assert peak < MEMORY_MB * 1024 * 1024
    assert files <= MAX_FILES
    assert is_answered
