"""Mutual authentication of peers with a pre-shared key.

Each side sends a Hello with a fresh nonce, then a HelloProof: an
HMAC-SHA-256 over the role label (client or server) and both encoded Hellos,
with a key that both sides have. The label prevents reflection: a proof sent
back to its author is not valid for the other role. The key file is reloaded
when it changes, so keys are rotated without a restart: add the new key on all
hosts, then remove the old one.
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
    """Identity that a process announces in its Hello.

    :ivar node: name of the process, unique in the deployment.
    :ivar role: a ``ttypes.Role``.
    :ivar data_centre: name of the data centre it runs in.
    :ivar deployment: name of the deployment; peers of other deployments are
        refused.
    :ivar incarnation: different after each start of the process.
    :ivar address: ``host:port`` at which it accepts peer connections, or ''.
    """

    node: str
    role: int
    data_centre: str
    deployment: str
    incarnation: int
    address: str = ''


class KeyRing:
    """Deployment keys read from a JSON-with-comments file.

    The format is ``{"keys": [{"id": ..., "secret": ...}, ...]}``, in order of
    preference.
    """

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        self._file_version: tuple[int, int] | None = None
        self._keys: dict[str, bytes] = {}
        self.keys()

    def keys(self) -> dict[str, bytes]:
        """Return the secrets by key id; reloads the file if it has changed.

        If the changed file is invalid, the keys loaded before stay in use.

        :raises ValueError: the file is invalid and no keys are loaded.
        """
        try:
            stat = os.stat(self._path)
            file_version = (stat.st_mtime_ns, stat.st_size)
            if file_version != self._file_version:
                self._keys = _parse_keys(self._path.read_text())
                self._file_version = file_version
        except (OSError, ValueError) as exc:
            if not self._keys:
                raise ValueError(
                    f'{self._path}: cannot load keys; '
                    f'expected {{"keys": [{{"id": "...", '
                    f'"secret": "at least {MIN_SECRET_CHARS} characters"'
                    f'}}]}}: {exc}'
                ) from exc
        return self._keys


def _parse_keys(text: str) -> dict[str, bytes]:
    document = json5.loads(text)
    if not isinstance(document, dict) or not document.get('keys'):
        raise ValueError('"keys" is missing or empty')
    keys: dict[str, bytes] = {}
    for row in document['keys']:
        secret = row.get('secret') if isinstance(row, dict) else None
        if not isinstance(secret, str) or len(secret) < MIN_SECRET_CHARS:
            raise ValueError('a key with a missing or too short secret')
        keys[str(row.get('id'))] = secret.encode()
    return keys


async def handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    local: Identity,
    key_ring: KeyRing,
    is_client: bool,
) -> Identity:
    """Authenticate both ends and return the peer's identity.

    :raises Refusal: PROTOCOL_VERSION, FORBIDDEN or BAD_FRAME.
    """
    # A copy, because the key file may be reloaded during the handshake.
    keys = dict(key_ring.keys())
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        local_hello = _build_hello(local, keys)
        local_frame = codec.encode(local_hello)
        writer.write(local_frame)
        await writer.drain()
        peer_payload = await _read_payload(reader)
        peer = _validate_hello(codec.decode(peer_payload).message, local_hello)
        hellos = [local_frame[4:], peer_payload]
        if not is_client:
            hellos.reverse()
        key_id = _select_key_id(local_hello, peer, is_client)
        secret = keys[key_id]
        proof = _compute_mac(secret, is_client, hellos)
        writer.write(codec.encode(ttypes.HelloProof(key_id, proof)))
        await writer.drain()
        received = codec.decode(await _read_payload(reader)).message
    if isinstance(received, ttypes.Reject):
        raise errors.Refusal(
            errors.kind_from_wire(received.kind), received.message
        )
    if not isinstance(received, ttypes.HelloProof) or not hmac.compare_digest(
        received.mac, _compute_mac(secret, not is_client, hellos)
    ):
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            'the peer failed to authenticate with a key of this deployment',
        )
    return Identity(
        node=peer.node,
        role=peer.role,
        data_centre=peer.data_centre,
        deployment=peer.deployment,
        incarnation=peer.incarnation,
        address=peer.address,
    )


async def _read_payload(reader: asyncio.StreamReader) -> bytes:
    return await codec.read_frame(reader, codec.MAX_HANDSHAKE_FRAME_BYTES)


def _build_hello(local: Identity, keys: Mapping[str, bytes]) -> ttypes.Hello:
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


def _validate_hello(
    message: object, local_hello: ttypes.Hello
) -> ttypes.Hello:
    if isinstance(message, ttypes.Reject):
        raise errors.Refusal(
            errors.kind_from_wire(message.kind), message.message
        )
    if not isinstance(message, ttypes.Hello):
        raise errors.Refusal(
            errors.ErrorKind.BAD_FRAME,
            'the first message of the peer is not a Hello',
        )
    if message.protocol != PROTOCOL_VERSION:
        raise errors.Refusal(
            errors.ErrorKind.PROTOCOL_VERSION,
            f'protocol version mismatch: the peer uses {message.protocol}, '
            f'this process {PROTOCOL_VERSION}',
        )
    if message.deployment != local_hello.deployment:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            f'the peer belongs to another deployment, {message.deployment!r}',
        )
    if len(message.nonce) != NONCE_BYTES or message.nonce == local_hello.nonce:
        raise errors.Refusal(
            errors.ErrorKind.FORBIDDEN,
            'invalid or reflected nonce of the peer',
        )
    return message


def _select_key_id(
    local_hello: ttypes.Hello, peer: ttypes.Hello, is_client: bool
) -> str:
    client, server = (local_hello, peer) if is_client else (peer, local_hello)
    for key_id in client.key_ids:
        if key_id in server.key_ids:
            return key_id
    raise errors.Refusal(
        errors.ErrorKind.FORBIDDEN, 'no deployment key in common with the peer'
    )


def _compute_mac(secret: bytes, is_client: bool, hellos: list[bytes]) -> bytes:
    digest = hmac.new(secret, _LABELS[is_client], hashlib.sha256)
    for hello in hellos:
        digest.update(len(hello).to_bytes(4, 'big'))
        digest.update(hello)
    return digest.digest()
