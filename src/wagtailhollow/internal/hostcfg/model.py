"""Settings that the platform gives each process."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds that the deployment sets.

    :ivar revoke_s: time after which a withdrawn key must not be served.
    :ivar is_revocation_strict: the bound holds without the store, too.
    :ivar retry_ratio: further attempts allowed for each call of a service.
    :ivar retry_slack: attempts allowed beyond that, by all hosts together.
    :ivar retry_window_s: time over which both are counted.
    :ivar cold_factor: multiple of a cold target's rate that is allowed.
    :ivar cold_slack: requests allowed beyond that in a second.
    :ivar grace_s: time from SIGTERM to SIGKILL.
    :ivar stall_s: time after which a group without a rank ends its work.
    """

    revoke_s: float = 5.0
    is_revocation_strict: bool = True
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.0
    cold_slack: float = 0.0
    grace_s: float = 8.0
    stall_s: float = 1.5


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """Addresses, place and bounds of one process.

    :ivar node: name of the host.
    :ivar callers_address: where callers connect, empty if they do not.
    :ivar readiness_address: where the balancer asks for readiness.
    :ivar internal_ports: first and last port for our own connections.
    :ivar target_address: the engine beside this process, or empty.
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
