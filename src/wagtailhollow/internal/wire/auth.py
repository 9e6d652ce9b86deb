"""Mutual proof that both ends of a connection belong to the deployment.

Each side sends a Hello with a fresh nonce, then a HelloProof: an
HMAC-SHA-256 over a label for the side, both encoded Hellos, with a key that
both hold. The label keeps one side's proof from being reflected as the
other's. The keys come from a file that is read again when it changes, so a
key is replaced by adding the new one everywhere and removing the old one
afterwards, without a restart.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import hmac
import os
import pathlib
import secrets
from collections.abc import Mapping

import json5

from ... import errors
from . import codec
from .gen import ttypes

PROTOCOL_VERSION = 1
HANDSHAKE_TIMEOUT_S = 3.0
NONCE_BYTES = 16
MIN_SECRET_CHARS = 16
_LABELS = {True: b'wagtailhollow client', False: b'wagtailhollow server'}


@dataclasses.dataclass(frozen=True)
class Identity:
    """What a process says of itself in its Hello.

    :ivar node: name of the process, unique in the deployment.
    :ivar role: a ``ttypes.Role``.
    :ivar data_centre: name of the data centre it runs in.
    :ivar deployment: name of the deployment; peers of others are refused.
    :ivar incarnation: differs for each start of the process.
    :ivar address: ``host:port`` at which it accepts peers, or ''.
    """

    node: str
    role: int
    data_centre: str
    deployment: str
    incarnation: int
    address: str = ''


class KeyRing:
    """Deployment keys read from a JSON-with-comments file.

    The file holds ``{"keys": [{"id": ..., "secret": ...}, ...]}``; the first
    key is the preferred one.
    """

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        self._stamp: tuple[int, int] | None = None
        self._keys: dict[str, bytes] = {}
        self.keys()

    def keys(self) -> dict[str, bytes]:
        """Return key id to secret, read again if the file has changed.

        :raises ValueError: if the file is not a valid key file and no
            earlier version of it was.
        """
        try:
            stat = os.stat(self._path)
            stamp = (stat.st_mtime_ns, stat.st_size)
            if stamp != self._stamp:
                self._keys = _parse_keys(self._path.read_text())
                self._stamp = stamp
        except (OSError, ValueError) as exc:
            if not self._keys:
                raise ValueError(
                    f'{self._path}: expected {{"keys": [{{"id": "...", '
                    f'"secret": "at least {MIN_SECRET_CHARS} characters"'
                    f'}}]}}, got {exc}'
                ) from exc
        return self._keys


def _parse_keys(text: str) -> dict[str, bytes]:
    document = json5.loads(text)
    if not isinstance(document, dict) or not document.get('keys'):
        raise ValueError('no "keys"')
    keys: dict[str, bytes] = {}
    for row in document['keys']:
        secret = row.get('secret') if isinstance(row, dict) else None
        if not isinstance(secret, str) or len(secret) < MIN_SECRET_CHARS:
            raise ValueError('a key whose secret is missing or too short')
        keys[str(row.get('id'))] = secret.encode()
    return keys


async def handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    local: Identity,
    key_ring: KeyRing,
    is_client: bool,
) -> Identity:
    """Prove this process to the peer and return the proven peer identity.

    :raises Refusal: PROTOCOL_VERSION, FORBIDDEN or BAD_FRAME.
    """
    # One snapshot: the key file may be replaced during the handshake.
    keys = dict(key_ring.keys())
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        own = _hello(local, keys)
        own_frame = codec.encode(own)
        writer.write(own_frame)
        await writer.drain()
        peer_payload = await _read(reader)
        peer = _checked_hello(codec.decode(peer_payload).message, own)
        hellos = [own_frame[4:], peer_payload]
        if not is_client:
            hellos.reverse()
        key_id = _common_key(own, peer, is_client)
        secret = keys[key_id]
        proof = _mac(secret, is_client, hellos)
        writer.write(codec.encode(ttypes.HelloProof(key_id, proof)))
        await writer.drain()
        received = codec.decode(await _read(reader)).message
    if isinstance(received, ttypes.Reject):
        raise errors.Refusal(
            errors.kind_from_wire(received.kind), received.message
        )
    if not isinstance(received, ttypes.HelloProof) or not hmac.compare_digest(
        received.mac, _mac(secret, not is_client, hellos)
    ):
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            'the peer did not prove a key of this deployment',
        )
    return Identity(
        node=peer.node,
        role=peer.role,
        data_centre=peer.data_centre,
        deployment=peer.deployment,
        incarnation=peer.incarnation,
        address=peer.address,
    )


async def _read(reader: asyncio.StreamReader) -> bytes:
    return await codec.read_frame(reader, codec.MAX_HANDSHAKE_FRAME_BYTES)


def _hello(local: Identity, keys: Mapping[str, bytes]) -> ttypes.Hello:
    return ttypes.Hello(
        protocol=PROTOCOL_VERSION,
        node=local.node,
        role=local.role,
        data_centre=local.data_centre,
        deployment=local.deployment,
        incarnation=local.incarnation,
        nonce=secrets.token_bytes(NONCE_BYTES),
        key_ids=list(keys),
        address=local.address,
    )


def _checked_hello(message: object, own: ttypes.Hello) -> ttypes.Hello:
    if isinstance(message, ttypes.Reject):
        raise errors.Refusal(
            errors.kind_from_wire(message.kind), message.message
        )
    if not isinstance(message, ttypes.Hello):
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME, 'the first message is not a Hello'
        )
    if message.protocol != PROTOCOL_VERSION:
        raise errors.Refusal(
            errors.ErrorKind.PROTOCOL_VERSION,
            f'the peer speaks protocol {message.protocol}, this process '
            f'speaks {PROTOCOL_VERSION}',
        )
    if message.deployment != own.deployment:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            f'the peer belongs to the deployment {message.deployment!r}',
        )
    if len(message.nonce) != NONCE_BYTES or message.nonce == own.nonce:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN, 'the nonce of the peer is not fresh'
        )
    return message


def _common_key(own: ttypes.Hello, peer: ttypes.Hello, is_client: bool) -> str:
    client, server = (own, peer) if is_client else (peer, own)
    for key_id in client.key_ids:
        if key_id in server.key_ids:
            return key_id
    raise errors.Refusal(
        errors.ErrorKind.FORBIDDEN, 'no deployment key in common'
    )


def _mac(secret: bytes, is_client: bool, hellos: list[bytes]) -> bytes:
    digest = hmac.new(secret, _LABELS[is_client], hashlib.sha256)
    for hello in hellos:
        digest.update(len(hello).to_bytes(4, 'big'))
        digest.update(hello)
    return digest.digest()
