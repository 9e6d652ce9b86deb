"""Answers of faulty engines that must not reach a caller as sound ones."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import aiohttp
import pytest

from standins import direct_deployment

SIGNATURE = b'x-engine-signature: i.1\r\n'


class RawEngine:
    """Engine that answers with given bytes.

    :ivar runs: ids of the requests that it ran, in order.
    """

    def __init__(self, name, service, answer):
        self.name = name
        self.service = service
        self.runs = []
        self.connections = 0
        self._answer = answer
        self._ip = direct_deployment.unused_ip()
        self._writers = []

    async def start(self, store):
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve, self._ip, 8080)
        spec = direct_deployment.Engine(self.name, self.service).registration(
            address=f'{self._ip}:8080'
        )
        store.put('servers', self.name, spec)

    async def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.append(writer)
        earlier = []
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                rows = dict(
                    line.lower().split(b': ', 1)
                    for line in head.split(b'\r\n')[1:-2]
                )
                await reader.readexactly(int(rows.get(b'content-length', 0)))
                await self._answer(
                    self, rows[b'x-request-id'], writer, earlier
                )
                await writer.drain()


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    writer.transport.abort()


def run_scenario(answer, service, scenario, others=0):
    """Run *scenario* with a raw engine and *others* sound ones."""

    async def run():
        async with direct_deployment.DirectDeployment() as site:
            for engine in site.engines_of(service)[others:]:
                site.store.delete('servers', engine.name)
            engine = RawEngine('i-raw', service, answer)
            await engine.start(site.store)
            await asyncio.sleep(0.5)
            try:
                await asyncio.wait_for(scenario(site, engine), 20)
            finally:
                await engine.stop()

    asyncio.run(run())


async def read_stream(resp):
    """Return the bytes of a stream and whether it is complete."""
    body = b''
    try:
        async for data in resp.content.iter_any():
            body += data
    except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError):
        return body, False
    return body, True


@pytest.mark.parametrize('echoes_ids', [True, False])
def test_refusal_written_once_more_does_not_refuse_the_next_call(echoes_ids):
    """Guards against 'not run' for a call that an engine has run.

    An engine writes an earlier refusal again when the next request comes on
    the connection, before it answers that one.
    """

    def refusal(request_id):
        echo = b'x-request-id: ' + request_id + b'\r\n' if echoes_ids else b''
        return (
            b'HTTP/1.1 503 busy\r\nx-not-executed: 1\r\n'
            + echo
            + b'content-length: 0\r\n\r\n'
        )

    async def answer(engine, request_id, writer, earlier):
        if earlier:
            writer.write(earlier[0])
        elif not engine.runs or len(engine.runs) % 2:
            earlier.append(refusal(request_id))
            writer.write(earlier[0])
            if not engine.runs:
                engine.runs.append(b'none')
            else:
                engine.runs.append(request_id + b' refused')
            return
        engine.runs.append(request_id)
        writer.write(
            b'HTTP/1.1 200 OK\r\n'
            + SIGNATURE
            + b'x-request-id: '
            + request_id
            + b'\r\ncontent-length: 2\r\n\r\nok'
        )

    async def scenario(site, engine):
        not_run = set()
        for number in range(20):
            async with site.call('once', f'r{number}') as resp:
                await resp.read()
                if resp.status in (408, 421, 429, 503):
                    not_run.add(f'r{number}'.encode())
        ran = [item for item in engine.runs if b'refused' not in item]
        assert len(ran) == len(set(ran))
        assert not not_run & set(ran)

    run_scenario(answer, direct_deployment.PLAIN_SERVICE, scenario)


@pytest.mark.parametrize(
    'status', [200, 201, 204, 206, 302, 400, 404, 409, 429, 500, 502, 503]
)
def test_error_of_the_next_engine_is_not_part_of_a_broken_stream(
    status, caplog
):
    """Guards against an error's text in the middle of a stream.

    A stream has begun and breaks off; the engine at which it is resumed
    answers with an error.
    """

    async def answer(engine, request_id, writer, earlier):
        engine.runs.append(request_id)
        body = b'' if status == 204 else b'error text'
        writer.write(
            b'HTTP/1.1 %d status\r\nx-request-id: %s\r\n'
            b'content-type: text/plain\r\ncontent-length: %d\r\n'
            % (status, request_id, len(body))
            + (SIGNATURE if status != 200 else b'')
            + b'\r\n'
            + body
        )

    async def scenario(site, engine):
        (sound,) = site.engines_of(direct_deployment.MODEL_SERVICE)[:1]
        for number in range(40):
            last = f'r{number - 1}'
            if last.encode() in engine.runs and any(
                item.request_id == last for item in sound.received
            ):
                break
            sound.behaviours = ['break']
            try:
                async with site.call('stream', f'r{number}') as resp:
                    body, is_whole = await read_stream(resp)
            except aiohttp.ClientError:
                continue
            if resp.status != 200 or not body:
                continue
            assert direct_deployment.STREAM.startswith(body)
            assert not is_whole or body == direct_deployment.STREAM
        else:
            raise AssertionError('no stream was resumed at the faulty engine')
        assert not [
            item.message
            for item in caplog.records
            if 'unexpected exception' in item.message
        ]

    run_scenario(answer, direct_deployment.MODEL_SERVICE, scenario, others=1)


HEAD = (
    b'HTTP/1.1 200 OK\r\n'
    + SIGNATURE
    + b'x-request-id: %s\r\ncontent-length: 2\r\n\r\n'
)


@pytest.mark.parametrize('route', ['once', 'stream'])
@pytest.mark.parametrize('is_reset', [True, False])
@pytest.mark.parametrize('share', [0.05, 0.2, 0.4, 0.7, 0.95, 1.0])
def test_answer_that_ends_inside_its_head_is_no_success(
    share, is_reset, route
):
    """Guards against a 200 with an empty or short body."""

    async def answer(engine, request_id, writer, earlier):
        head = HEAD % request_id
        end = int(share * len(head)) if share < 1 else len(head) - 2
        writer.write(head[:end])
        await writer.drain()
        if is_reset:
            reset(writer)
        else:
            writer.close()

    async def scenario(site, engine):
        async with site.call(route) as resp:
            assert resp.status == 502

    service = (
        direct_deployment.MODEL_SERVICE
        if route == 'stream'
        else direct_deployment.PLAIN_SERVICE
    )
    run_scenario(answer, service, scenario)


STREAM = direct_deployment.STREAM
FIRST_EVENT = direct_deployment.encoded_event(1)


@pytest.mark.parametrize(
    ('body', 'is_reset', 'is_whole'),
    [
        (STREAM, False, True),
        (STREAM, True, False),
        (STREAM[:-1], False, False),
        (FIRST_EVENT + b'id: 2\n', False, False),
        (FIRST_EVENT, True, False),
        (b'', False, False),
        (b'', True, False),
        (b'\n', False, False),
        (b': comment\n\n', False, True),
    ],
)
def test_stream_that_ends_with_its_connection(body, is_reset, is_whole):
    """Guards against a broken stream that looks complete.

    The stream has neither a length nor chunks. Without any event it has
    broken off, as when its engine crashes before the first one.
    """

    async def answer(engine, request_id, writer, earlier):
        writer.write(
            b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
            + SIGNATURE
            + b'x-request-id: '
            + request_id
            + b'\r\n\r\n'
            + body
        )
        await writer.drain()
        await asyncio.sleep(0.05)
        if is_reset:
            reset(writer)
        else:
            writer.close()

    async def scenario(site, engine):
        try:
            async with site.call('stream') as resp:
                found, is_complete = await read_stream(resp)
        except aiohttp.ServerDisconnectedError:
            assert not is_whole
            return
        if is_whole:
            assert resp.status == 200
            assert is_complete and found == body
        else:
            assert not (resp.status == 200 and is_complete)
            if resp.status == 200:
                assert STREAM.startswith(found)

    run_scenario(answer, direct_deployment.MODEL_SERVICE, scenario)


def test_connection_of_a_refusal_is_not_used_again():
    """Guards against a second copy of a refusal with the id of a retry."""

    async def answer(engine, request_id, writer, earlier):
        writer.write(
            b'HTTP/1.1 503 busy\r\nx-not-executed: 1\r\nx-request-id: '
            + request_id
            + b'\r\ncontent-length: 0\r\n\r\n'
        )
        engine.runs.append(request_id)

    async def scenario(site, engine):
        async with site.call('once') as resp:
            assert resp.status == 503
        assert engine.connections == len(engine.runs)

    run_scenario(answer, direct_deployment.PLAIN_SERVICE, scenario)
