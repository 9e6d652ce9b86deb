"""Peer connections on real sockets: proofs, bounds, faults and TLS."""

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


def _beat(conn):
    return ttypes.Heartbeat(sent_at_ms=1, documents=[], draining=False)


def _key_ring(path, *names):
    rows = [
        {'id': name, 'secret': f'{name}-secret-0123456789'} for name in names
    ]
    path.write_text(json.dumps({'keys': rows}))
    return auth.KeyRing(str(path))


class _Peers:
    """A server and the clients that connect to it."""

    def __init__(self, key_ring, contexts=None):
        self.handlers = connection.Handlers()
        self._contexts = contexts or tls.Contexts()
        self.server = server.PeerServer(
            LOCAL, key_ring, self.handlers, _beat, self._contexts.server
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
            _beat,
            tls=context or self._contexts.client,
        )


@contextlib.asynccontextmanager
async def _reading(conn):
    task = asyncio.create_task(conn.run())
    try:
        yield
    finally:
        conn.close('test ends')
        await asyncio.gather(task)


def test_keys_are_rotated_without_refusing_a_peer(tmp_path):
    """Guards against downtime in a rotation and against old keys after it."""

    async def go():
        theirs, ours = tmp_path / 'theirs.json', tmp_path / 'ours.json'
        ring = _key_ring(ours, 'old')
        async with _Peers(_key_ring(theirs, 'old')) as peers:
            for server_keys, client_keys in (
                (['old'], ['old']),
                (['old', 'new'], ['old']),
                (['old', 'new'], ['new', 'old']),
                (['new'], ['new', 'old']),
            ):
                _key_ring(theirs, *server_keys)
                _key_ring(ours, *client_keys)
                (await peers.connect(ring)).close('done')
            _key_ring(ours, 'old')
            with pytest.raises(errors.Refusal, match='no deployment key'):
                await peers.connect(ring)

    asyncio.run(go())


def test_peer_with_a_wrong_secret_of_a_known_key_is_refused(tmp_path):
    """Guards against trusting the id of a key."""

    async def go():
        path = tmp_path / 'other.json'
        rows = [{'id': 'k', 'secret': 'another-secret-0123456789'}]
        path.write_text(json.dumps({'keys': rows}))
        async with _Peers(_key_ring(tmp_path / 'k.json', 'k')) as peers:
            with pytest.raises(errors.Refusal, match='forbidden'):
                await peers.connect(auth.KeyRing(str(path)))
            assert not peers.server.connections

    asyncio.run(go())


def test_other_protocol_version_is_refused_by_its_kind(tmp_path, monkeypatch):
    """Guards against a mixed deployment that misreads messages."""

    async def go():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _Peers(ring) as peers:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', peers.port
            )
            hello = auth._hello(LOCAL, ring.keys())
            hello.protocol = auth.PROTOCOL_VERSION + 1
            writer.write(codec.encode(hello))
            await codec.read_frame(reader)
            reject = codec.decode(await codec.read_frame(reader)).message
            assert reject.kind == errors.ErrorKind.PROTOCOL_VERSION.value
            writer.close()

    asyncio.run(go())


def test_unproven_peer_cannot_send_a_large_frame(tmp_path):
    """Guards against memory held for peers without a key."""

    async def go():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _Peers(ring) as peers:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', peers.port
            )
            size = codec.MAX_HANDSHAKE_FRAME_BYTES + 1
            writer.write(struct.pack('>I', size) + bytes(100))
            await codec.read_frame(reader)
            reject = codec.decode(await codec.read_frame(reader)).message
            assert reject.kind == errors.ErrorKind.BAD_FRAME.value
            writer.close()

    asyncio.run(go())


@pytest.mark.parametrize('fault', ['malformed frame', 'failing handler'])
def test_fault_ends_only_its_own_connection(tmp_path, fault):
    """Guards against a peer that stops a server by one bad message."""

    async def go():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _Peers(ring) as peers:

            def fail(conn, message):
                raise KeyError('not handled')

            peers.handlers.on_one_way(ttypes.CancelCall)(fail)
            good, bad = await peers.connect(ring), await peers.connect(ring)
            async with _reading(good), _reading(bad):
                if fault == 'malformed frame':
                    bad._write(struct.pack('>I', 3) + b'\xff\xff\xff')
                else:
                    bad.send_nowait(ttypes.CancelCall('call', 1))
                async with asyncio.timeout(2):
                    while bad.is_open:
                        await asyncio.sleep(0.01)
                assert good.is_open
                assert len(peers.server.connections) == 1

    asyncio.run(go())


def test_repeated_request_frame_runs_once(tmp_path):
    """Guards against a call that a repeated frame starts a second time."""

    async def go():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _Peers(ring) as peers:
            seen = []

            async def handle(conn, message):
                seen.append(message.what)
                return ttypes.StatusReply(b'{}')

            peers.handlers.on_request(ttypes.StatusRequest)(handle)
            conn = await peers.connect(ring)
            async with _reading(conn):
                conn._write(codec.encode(ttypes.StatusRequest('a'), 5))
                conn._write(codec.encode(ttypes.StatusRequest('a'), 5))
                await conn.request(ttypes.StatusRequest('b'), 2.0)
            assert seen == ['a', 'b']

    asyncio.run(go())


def test_control_bytes_leave_out_the_data_of_calls(tmp_path):
    """Guards against a control figure that grows with the answers."""

    async def go():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        counter = metrics.peer_bytes.labels('sent')._value
        async with _Peers(ring) as peers:
            conn = await peers.connect(ring)
            before = counter.get()
            conn.send_nowait(ttypes.Chunk('call', 1, 0, bytes(1000)))
            assert counter.get() == before
            conn.send_nowait(ttypes.CancelCall('call', 1))
            assert 0 < counter.get() - before < 50
            conn.close('done')

    asyncio.run(go())


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
def test_tls_peers_need_a_certificate_of_the_deployment(tmp_path):
    """Guards against plain or foreign peers in a deployment with TLS."""

    async def go():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        own = tls.contexts(_certificates(tmp_path, 'own'))
        foreign = tls.contexts(_certificates(tmp_path, 'foreign'))
        async with _Peers(ring, own) as peers:
            conn = await peers.connect(ring)
            async with _reading(conn):
                await asyncio.sleep(0.05)
                assert conn.is_open
            with pytest.raises(OSError):
                await peers.connect(ring, foreign.client)
        async with _Peers(ring) as peers:
            with pytest.raises((OSError, asyncio.TimeoutError)):
                await peers.connect(ring, own.client)

    asyncio.run(go())


def test_unusable_tls_files_are_named(tmp_path):
    """Guards against a traceback for a wrong path."""
    missing = str(tmp_path / 'missing.pem')
    with pytest.raises(ValueError, match='missing.pem'):
        tls.contexts(schema.TlsSettings(missing, missing, missing))


def test_sending_on_a_transport_that_was_reset_is_a_lost_connection(tmp_path):
    """Guards against uvloop's RuntimeError in the calls of a reset peer."""

    async def go():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _Peers(ring) as peers:
            # The reader task has not noticed the reset yet.
            conn = await peers.connect(ring)
            conn._writer.transport.abort()
            await asyncio.sleep(0.05)
            with pytest.raises(connection.ConnectionLost):
                conn.send_nowait(ttypes.CancelCall('call', 1))
            with pytest.raises(connection.ConnectionLost):
                await conn.drain()
            assert not conn.is_open

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(go())


def test_unwanted_peer_stays_connected_while_calls_hold_it(tmp_path):
    """Guards against streams cut because a host left the list."""

    async def go():
        ring = _key_ring(tmp_path / 'k.json', 'k')
        async with _Peers(ring) as peers:
            address = f'127.0.0.1:{peers.port}'
            found = pool.PeerPool(LOCAL, ring, connection.Handlers(), _beat)
            found.set_addresses([address])
            async with asyncio.timeout(3):
                while found.get(address) is None:
                    await asyncio.sleep(0.01)
                with found.hold(address):
                    for _ in range(3):
                        found.set_addresses([])
                    await asyncio.sleep(0.1)
                    assert found.get(address) is not None
                    assert len(found._releasing) == 1
                while found.get(address) is not None:
                    await asyncio.sleep(0.01)
            await found.stop()

    asyncio.run(go())


def test_names_left_out_of_heartbeats_are_put_back():
    """Guards against loads and versions without the names they belong to."""
    encoder, decoder = heartbeat.DeltaEncoder(), heartbeat.DeltaDecoder()
    for number in range(3 * heartbeat.FULL_EVERY):
        load = ttypes.TargetLoad(
            target='t', service_name='s', models=['m'], running=number
        )
        versions = [ttypes.DocumentVersion('table', 1 + number // 4)]
        beat = ttypes.Heartbeat(number, list(versions), load, False)
        found = decoder.decode(encoder.encode(beat))
        assert (found.load.target, found.load.models) == ('t', ['m'])
        assert found.load.running == number
        assert found.documents == versions


def test_load_without_names_is_dropped_until_they_are_known():
    """Guards against a load that is taken for that of another target."""
    encoder, decoder = heartbeat.DeltaEncoder(), heartbeat.DeltaDecoder()
    loads = []
    for number in range(heartbeat.FULL_EVERY + 1):
        load = ttypes.TargetLoad(target='t', service_name='s', models=[])
        beat = encoder.encode(ttypes.Heartbeat(number, [], load, False))
        if number > 0:
            loads.append(decoder.decode(beat).load)
    assert loads[:-1] == [None] * (heartbeat.FULL_EVERY - 1)
    assert loads[-1].target == 't'
