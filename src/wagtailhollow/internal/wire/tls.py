"""TLS contexts for peer connections, from settings.

Both ends present a certificate that the deployment's own authority signed.
Host names are not checked: peers are dialled by IP address, and the proof in
:mod:`auth` says who the peer is.
"""

from __future__ import annotations

import dataclasses
import ssl

from ..settings import schema


@dataclasses.dataclass(frozen=True)
class Contexts:
    """The two contexts of a process; None means plain TCP."""

    server: ssl.SSLContext | None = None
    client: ssl.SSLContext | None = None


def contexts(cfg: schema.TlsSettings | None) -> Contexts:
    """Return the contexts for *cfg*.

    :raises ValueError: a file cannot be used.
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
            f'tls: {cfg.cert_file}, {cfg.key_file} and {cfg.ca_file} have to '
            f'be readable PEM files that fit together, got {exc}'
        ) from exc
    return context
