"""Peer connections on real sockets: handshake, limits, faults and TLS."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import shutil
import struct
import subprocess

import pytest
import uvloop

from wagtailhollow import errors
from wagtailhollow.internal.observability import metrics
from wagtailhollow.internal.settings import schema
from wagtailhollow.internal.wire import (
    auth,
    codec,
    connection,
    heartbeat,
    pool,
    server,
    tls,
)
from wagtailhollow.internal.wire.gen import ttypes

LOCAL = auth.Identity('node-1', ttypes.Role.ENTRY, 'dc-a', 'demo', 7)


def _build_heartbeat(conn):
    return ttypes.Heartbeat(sent_at_ms=1, documents=[], draining=False)


def _key_ring(path, *names):
    rows = [
        {'id': name, 'secret': f'{name}-secret-0123456789'} for name in names
    ]
    path.write_text(json.dumps({'keys': rows}))
    return auth.KeyRing(str(path))


class _TestServer:
    """A peer server, with a method that connects a client to it."""

    def __init__(self, key_ring, contexts=None):
        self.handlers = connection.Handlers()
        self._contexts = contexts or tls.Contexts()
        self.server = server.PeerServer(
            LOCAL,
            key_ring,
            self.handlers,
            _build_heartbeat,
            self._contexts.server,
        )

    async def __aenter__(self):
        self.port = await self.server.start('127.0.0.1', 0)
        return self

    async def __aexit__(self, *_):
        await self.server.stop()

    async def connect(self, key_ring, context=None):
        return await connection.connect(
            f'127.0.0.1:{self.port}',
            dataclasses.replace(LOCAL, node='node-2'),
            key_ring,
            connection.Handlers(),
            _build_heartbeat,
            tls=context or self._contexts.client,
        )


@contextlib.asynccontextmanager
async def _running(conn):
    task = asyncio.create_task(conn.run())
    try:
        yield
    finally:
        conn.close('test ends')
        await asyncio.gather(task)


def test_key_rotation_refuses_no_peer(tmp_path):
    """Guards against refusals during key rotation and old keys after it."""

    async def run():
        server_file, client_file = (
            tmp_path / 'server.json',
            tmp_path / 'client.json',
        )
        ring = _key_ring(client_file, 'old')
        async with _TestServer(_key_ring(server_file, 'old')) as peers:
            for server_keys, client_keys in (
                (['old'], ['old']),
                (['old', 'new'], ['old']),
                (['old', 'new'], ['new', 'old']),
                (['new'], ['new', 'old']),
            ):
                _key_ring(server_file, *server_keys)
                _key_ring(client_file, *client_keys)
                (await peers.connect(ring)).close('done')
            _key_ring(client_file, 'old')
            with pytest.raises(errors.Refusal, match='no deployment key'):
                await peers.connect(ring)

    asyncio.run(run())


def test_peer_with_known_key_id_and_wrong_secret_is_refused(tmp_path):
    """Guards against accepting a peer by its key id alone."""

    async def run():
        path = tmp_path / 'other.json'
        rows = [{'id': 'k', 'secret': 'another-secret-0123456789'}]
        path.write_text(json.dumps({'keys': rows}))
        async with _TestServer(_key_ring(tmp_path / 'k.json', 'k')) as peers:
            with pytest.raises(errors.Refusal, match='forbidden'):
                await peers.connect(auth.KeyRing(str(path)))
            assert not peers.server.connections

    asyncio.run(run())


def test_other_protocol_version_is_refused(tmp_path, monkeypatch):
    """Guards against misread messages in a mixed-version deployment."""

    async def run():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _TestServer(ring) as peers:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', peers.port
            )
            hello = auth._build_hello(LOCAL, ring.keys())
            hello.protocol = auth.PROTOCOL_VERSION + 1
            writer.write(codec.encode(hello))
            await codec.read_frame(reader)
            reject = codec.decode(await codec.read_frame(reader)).message
            assert reject.kind == errors.ErrorKind.PROTOCOL_VERSION.value
            writer.close()

    asyncio.run(run())


def test_unauthenticated_peer_cannot_send_a_large_frame(tmp_path):
    """Guards against memory use by peers that are not authenticated."""

    async def run():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _TestServer(ring) as peers:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', peers.port
            )
            size = codec.MAX_HANDSHAKE_FRAME_BYTES + 1
            writer.write(struct.pack('>I', size) + bytes(100))
            await codec.read_frame(reader)
            reject = codec.decode(await codec.read_frame(reader)).message
            assert reject.kind == errors.ErrorKind.BAD_FRAME.value
            writer.close()

    asyncio.run(run())


@pytest.mark.parametrize('fault', ['malformed frame', 'failing handler'])
def test_fault_closes_only_its_own_connection(tmp_path, fault):
    """Guards against a peer that stops a server with one bad message."""

    async def run():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _TestServer(ring) as peers:

            def fail(conn, message):
                raise KeyError('not handled')

            peers.handlers.on_one_way(ttypes.CancelCall)(fail)
            good, bad = await peers.connect(ring), await peers.connect(ring)
            async with _running(good), _running(bad):
                if fault == 'malformed frame':
                    bad._write(struct.pack('>I', 3) + b'\xff\xff\xff')
                else:
                    bad.send_nowait(ttypes.CancelCall('call', 1))
                async with asyncio.timeout(2):
                    while bad.is_open:
                        await asyncio.sleep(0.01)
                assert good.is_open
                assert len(peers.server.connections) == 1

    asyncio.run(run())


def test_duplicated_request_frame_is_executed_once(tmp_path):
    """Guards against executing a call twice after a duplicated frame."""

    async def run():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _TestServer(ring) as peers:
            seen = []

            async def handle(conn, message):
                seen.append(message.what)
                return ttypes.StatusReply(b'{}')

            peers.handlers.on_request(ttypes.StatusRequest)(handle)
            conn = await peers.connect(ring)
            async with _running(conn):
                conn._write(codec.encode(ttypes.StatusRequest('a'), 5))
                conn._write(codec.encode(ttypes.StatusRequest('a'), 5))
                await conn.request(ttypes.StatusRequest('b'), 2.0)
            assert seen == ['a', 'b']

    asyncio.run(run())


def test_control_bytes_exclude_call_data(tmp_path):
    """Guards against counting response data as control traffic."""

    async def run():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        counter = metrics.peer_bytes.labels('sent')._value
        async with _TestServer(ring) as peers:
            conn = await peers.connect(ring)
            before = counter.get()
            conn.send_nowait(ttypes.Chunk('call', 1, 0, bytes(1000)))
            assert counter.get() == before
            conn.send_nowait(ttypes.CancelCall('call', 1))
            assert 0 < counter.get() - before < 50
            conn.close('done')

    asyncio.run(run())


def _certificates(folder, name):
    ca = ['-x509', '-newkey', 'rsa:2048', '-nodes', '-days', '2']
    key, cert = folder / f'{name}.key', folder / f'{name}.pem'
    command = [
        'openssl', 'req', *ca, '-subj', f'/CN={name}',
        '-keyout', str(key), '-out', str(cert),
    ]  # fmt: skip
    subprocess.run(command, check=True, capture_output=True)
    return schema.TlsSettings(str(cert), str(cert), str(key))


@pytest.mark.skipif(not shutil.which('openssl'), reason='needs openssl')
def test_tls_requires_a_certificate_of_the_deployment(tmp_path):
    """Guards against peers without TLS or with a certificate of another CA."""

    async def run():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        own = tls.contexts(_certificates(tmp_path, 'own'))
        foreign = tls.contexts(_certificates(tmp_path, 'foreign'))
        async with _TestServer(ring, own) as peers:
            conn = await peers.connect(ring)
            async with _running(conn):
                await asyncio.sleep(0.05)
                assert conn.is_open
            with pytest.raises(OSError):
                await peers.connect(ring, foreign.client)
        async with _TestServer(ring) as peers:
            with pytest.raises((OSError, asyncio.TimeoutError)):
                await peers.connect(ring, own.client)

    asyncio.run(run())


def test_error_names_missing_tls_file(tmp_path):
    """Guards against an error that does not name the wrong path."""
    missing = str(tmp_path / 'missing.pem')
    with pytest.raises(ValueError, match='missing.pem'):
        tls.contexts(schema.TlsSettings(missing, missing, missing))


def test_sending_on_reset_transport_raises_connection_lost(tmp_path):
    """Guards against uvloop's RuntimeError reaching callers after a reset."""

    async def run():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _TestServer(ring) as peers:
            # No reader task runs, so nothing has noticed the reset yet.
            conn = await peers.connect(ring)
            conn._writer.transport.abort()
            await asyncio.sleep(0.05)
            with pytest.raises(connection.ConnectionLost):
                conn.send_nowait(ttypes.CancelCall('call', 1))
            with pytest.raises(connection.ConnectionLost):
                await conn.drain()
            assert not conn.is_open

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


def test_removed_peer_stays_connected_while_held(tmp_path):
    """Guards against cutting streams when a host leaves the host list."""

    async def run():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _TestServer(ring) as peers:
            address = f'127.0.0.1:{peers.port}'
            peer_pool = pool.PeerPool(
                LOCAL, ring, connection.Handlers(), _build_heartbeat
            )
            peer_pool.set_addresses([address])
            async with asyncio.timeout(3):
                while peer_pool.get(address) is None:
                    await asyncio.sleep(0.01)
                with peer_pool.hold(address):
                    for _ in range(3):
                        peer_pool.set_addresses([])
                    await asyncio.sleep(0.1)
                    assert peer_pool.get(address) is not None
                    assert len(peer_pool._closing_tasks) == 1
                while peer_pool.get(address) is not None:
                    await asyncio.sleep(0.01)
            await peer_pool.stop()

    asyncio.run(run())


def test_omitted_heartbeat_fields_are_restored():
    """Guards against heartbeats whose omitted fields are not restored."""
    encoder, decoder = heartbeat.DeltaEncoder(), heartbeat.DeltaDecoder()
    for number in range(3 * heartbeat.FULL_EVERY):
        load = ttypes.TargetLoad(
            target='t', service_name='s', models=['m'], running=number
        )
        versions = [ttypes.DocumentVersion('table', 1 + number // 4)]
        message = ttypes.Heartbeat(number, list(versions), load, False)
        decoded = decoder.decode(encoder.encode(message))
        assert (decoded.load.target, decoded.load.models) == ('t', ['m'])
        assert decoded.load.running == number
        assert decoded.documents == versions


def test_load_is_dropped_until_its_target_is_known():
    """Guards against assigning a load to the wrong target."""
    encoder, decoder = heartbeat.DeltaEncoder(), heartbeat.DeltaDecoder()
    loads = []
    for number in range(heartbeat.FULL_EVERY + 1):
        load = ttypes.TargetLoad(target='t', service_name='s', models=[])
        message = encoder.encode(ttypes.Heartbeat(number, [], load, False))
        if number > 0:
            loads.append(decoder.decode(message).load)
    assert loads[:-1] == [None] * (heartbeat.FULL_EVERY - 1)
    assert loads[-1].target == 't'
