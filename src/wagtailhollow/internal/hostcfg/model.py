"""Types of the settings that the platform provides for each process."""

from __future__ import annotations

import dataclasses

DEFAULT_LINK_BYTES_PER_S = 375_000.0
"""Bandwidth that is assumed if the settings state none: 3 Mbit/s."""

DEFAULT_MAX_FILES = 1024
"""File descriptors that are assumed if the settings state none."""


DEFAULT_MEMORY_BYTES = 128 * 1024 * 1024
"""Memory that is assumed if the settings state none."""


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Time-outs, ratios and other bounds set by the deployment.

    :ivar revoke_s: time after which a withdrawn key must not be accepted.
    :ivar is_revocation_strict: whether ``revoke_s`` also applies while the
        store is unavailable.
    :ivar retry_ratio: retries allowed per call of a service.
    :ivar retry_slack: further retries allowed, over all hosts together.
    :ivar retry_window_s: period over which both are counted.
    :ivar cold_factor: allowed multiple of a cold target's request rate.
    :ivar cold_slack: further requests allowed per second.
    :ivar grace_s: time from SIGTERM to SIGKILL.
    :ivar settle_s: time after a disturbance of a host's connections in which
        it has to be up to date again.
    :ivar apply_s: time in which a manifest has to be in force.
    :ivar drain_s: time in which new calls to a leaving target have to stop.
    :ivar withdraw_s: the same for a withdrawn data centre.
    :ivar stall_s: time after which a group with a missing rank abandons its
        work.
    """

    revoke_s: float = 5.0
    is_revocation_strict: bool = True
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    grace_s: float = 8.0
    settle_s: float = 3.0
    apply_s: float = 2.0
    drain_s: float = 2.0
    withdraw_s: float = 5.0
    stall_s: float = 1.5


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """Addresses, location and bounds of one process.

    :ivar node: name of the host (elsewhere, ``node`` names a process).
    :ivar regions: region of each data centre.
    :ivar callers_address: address for connections of callers, or empty.
    :ivar readiness_address: address for the readiness probes of the load
        balancer in front.
    :ivar internal_ports: first and last port for connections within the
        deployment.
    :ivar link_bytes_per_s: bandwidth of the host's own link.
    :ivar max_files: file descriptors that the process may open.
    :ivar memory_bytes: memory that the process may use.
    :ivar target_address: address of the engine on the same host, or empty.
    """

    node: str
    ip: str
    data_centre: str
    region: str
    regions: dict[str, str]
    store_address: str
    callers_address: str
    readiness_address: str
    internal_ports: tuple[int, int]
    target_address: str
    target_service: str
    bounds: Bounds
    link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S
    max_files: int = DEFAULT_MAX_FILES
    memory_bytes: int = DEFAULT_MEMORY_BYTES
