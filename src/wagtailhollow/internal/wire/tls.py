"""TLS contexts for peer connections.

Both ends present a certificate signed by the deployment's own CA. Host names
are not verified: peers connect by IP address, and the handshake in :mod:`auth`
establishes the peer's identity.
"""

from __future__ import annotations

import dataclasses
import ssl

from ..settings import schema


@dataclasses.dataclass(frozen=True)
class Contexts:
    """Server and client context of a process; None means plain TCP."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def contexts(cfg: schema.TlsSettings | None) -> Contexts:
    """Return the contexts for *cfg*.

    :raises ValueError: a certificate or key file cannot be loaded.
    """
    if cfg is None:
        return Contexts()
    return Contexts(
        _context(cfg, ssl.PROTOCOL_TLS_SERVER),
        _context(cfg, ssl.PROTOCOL_TLS_CLIENT),
    )


def _context(cfg: schema.TlsSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(cfg.cert_file, cfg.key_file)
        context.load_verify_locations(cfg.ca_file)
    except OSError as exc:
        raise ValueError(
            f'tls: {cfg.cert_file}, {cfg.key_file} and {cfg.ca_file} must be '
            f'readable PEM files of a matching certificate, key and CA: {exc}'
        ) from exc
    return context
