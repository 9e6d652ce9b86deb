"""Settings of the programs: one frozen dataclass per settings file."""

from __future__ import annotations

import dataclasses

from . import loader

_ADDRESS = 'host:port with a numeric port'
_URL = 'an http:// or https:// URL'
_NAME = 'a name of 1 to 64 of A-Z, a-z, 0-9, dot, dash and underscore'
_PLANNERS = ('few_moves', 'full_resolve', 'greedy', 'never')
_LOG_LEVELS = ('debug', 'info', 'warning', 'error')


def _is_name(value: str) -> bool:
    return 0 < len(value) <= 64 and all(
        (char.isascii() and char.isalnum()) or char in '._-' for char in value
    )


def _name(**kwargs: str) -> str:
    return loader.setting(allowed=_NAME, check=_is_name, **kwargs)


def _address() -> str:
    return loader.setting(allowed=_ADDRESS, check=loader.is_address)


def _addresses() -> tuple[str, ...]:
    return loader.setting(
        (),
        allowed='a list of addresses, each host:port with a numeric port',
        check=lambda value: all(map(loader.is_address, value)),
    )


def _log_level() -> str:
    return loader.setting(
        'info',
        allowed='one of ' + ', '.join(_LOG_LEVELS),
        check=lambda value: value in _LOG_LEVELS,
    )


def _seconds(default: float, low: float, high: float) -> float:
    return loader.setting(
        default,
        allowed=f'seconds from {low} to {high}',
        check=loader.in_range(low, high),
    )


def _whole_number(default: int, low: int, high: int) -> int:
    return loader.setting(
        default,
        allowed=f'a whole number from {low} to {high}',
        check=loader.in_range(low, high),
    )


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Limits on the resources that requests of callers may use at an entry."""

    max_body_bytes: int = _whole_number(1_000_000, 1, 1_900_000)
    max_header_bytes: int = _whole_number(16_384, 1_024, 65_536)
    max_connections: int = _whole_number(2_048, 1, 65_536)
    max_request_memory_bytes: int = _whole_number(
        268_435_456, 16_777_216, 1_099_511_627_776
    )
    max_waiting_calls: int = _whole_number(512, 0, 65_536)
    body_timeout_s: float = _seconds(10.0, 0.1, 600.0)
    max_wait_s: float = _seconds(1.0, 0.0, 60.0)
    call_deadline_s: float = _seconds(300.0, 0.1, 3600.0)


@dataclasses.dataclass(frozen=True)
class TlsSettings:
    """TLS between peers; all processes of a deployment use it or none does."""

    ca_file: str = loader.setting(allowed='path of the CA certificates (PEM)')
    cert_file: str = loader.setting(allowed='path of the certificate (PEM)')
    key_file: str = loader.setting(allowed='path of the private key (PEM)')


def _tls() -> TlsSettings | None:
    return loader.setting(
        None,
        allowed='null or an object with the PEM file paths `ca_file`, '
        '`cert_file` and `key_file`',
    )


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Settings of the entry daemon."""

    node: str = _name()
    data_centre: str = _name()
    deployment: str = _name()
    listen_http: str = _address()
    listen_peers: str = _address()
    platform_url: str = loader.setting(allowed=_URL, check=loader.is_url)
    peer_keys_file: str = loader.setting(allowed='path of the key file')
    region: str = _name(default='default')
    seed_peers: tuple[str, ...] = _addresses()
    request_limits: RequestLimits = loader.setting(
        RequestLimits(), allowed='an object'
    )
    limit_method: str = loader.setting(
        'owner_blocks', allowed='the name of a limit method'
    )
    tls: TlsSettings | None = _tls()
    drain_notice_s: float = _seconds(2.0, 0.0, 60.0)
    drain_timeout_s: float = _seconds(330.0, 0.0, 3600.0)
    log_level: str = _log_level()


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """The target in front of which an agent runs."""

    kind: str = loader.setting(
        allowed='one of model_engine, plain_service',
        check=lambda value: value in ('model_engine', 'plain_service'),
    )
    url: str = loader.setting(allowed=_URL, check=loader.is_url)
    models: tuple[str, ...] = loader.setting(
        (), allowed='a list of model names, none empty', check=all
    )


@dataclasses.dataclass(frozen=True)
class RampSettings:
    """How the concurrency cap of a fresh target grows."""

    initial_cap: int = _whole_number(2, 1, 1_024)
    max_cap: int = _whole_number(64, 1, 65_536)
    completions_per_step: int = _whole_number(2, 1, 1_000)
    step_factor: float = loader.setting(
        1.5,
        allowed='a factor from 1.05 to 4',
        check=loader.in_range(1.05, 4),
    )

    def check_consistency(self) -> None:
        """Raise :class:`loader.InvalidValue` for contradicting values."""
        if self.initial_cap > self.max_cap:
            raise loader.InvalidValue(
                'initial_cap',
                str(self.initial_cap),
                f'at most max_cap, which is {self.max_cap}',
            )


@dataclasses.dataclass(frozen=True)
class ExpertSettings:
    """Planning of expert maps, which the agent that leads a group does."""

    planner: str = loader.setting(
        'few_moves',
        allowed='one of ' + ', '.join(_PLANNERS),
        check=lambda value: value in _PLANNERS,
    )
    plan_period_s: float = _seconds(60.0, 0.1, 86_400.0)
    weights_per_s: float = loader.setting(
        100.0,
        allowed='expert weights a second from 0.1 to 100000',
        check=loader.in_range(0.1, 100_000),
    )
    spare_slots: int = _whole_number(2, 1, 64)


@dataclasses.dataclass(frozen=True)
class AgentSettings:
    """Settings of the agent daemon."""

    node: str = _name()
    data_centre: str = _name()
    deployment: str = _name()
    target: str = _name()
    service: str = _name()
    listen_peers: str = _address()
    listen_http: str = _address()
    platform_url: str = loader.setting(allowed=_URL, check=loader.is_url)
    peer_keys_file: str = loader.setting(allowed='path of the key file')
    backend: BackendSettings = loader.setting(allowed='an object')
    ramp: RampSettings = loader.setting(RampSettings(), allowed='an object')
    group: str | None = loader.setting(
        None, allowed=f'{_NAME}, or null', check=_is_name
    )
    rank: int | None = loader.setting(
        None,
        allowed='the rank in the group, 0 to 4095, or null',
        check=loader.in_range(0, 4095),
    )
    experts: ExpertSettings = loader.setting(
        ExpertSettings(), allowed='an object'
    )
    tls: TlsSettings | None = _tls()
    drain_timeout_s: float = _seconds(330.0, 0.0, 3600.0)
    log_level: str = _log_level()

    def check_consistency(self) -> None:
        """Raise :class:`loader.InvalidValue` for contradicting values."""
        if (self.group is None) != (self.rank is None):
            raise loader.InvalidValue(
                'rank',
                f'{self.rank} with the group {self.group!r}',
                'both group and rank, or neither',
            )


@dataclasses.dataclass(frozen=True)
class OperatorSettings:
    """Settings of the operators' client."""

    operator: str = _name()
    deployment: str = _name()
    platform_url: str = loader.setting(allowed=_URL, check=loader.is_url)
    peer_keys_file: str = loader.setting(allowed='path of the key file')
    seed_peers: tuple[str, ...] = _addresses()
    tls: TlsSettings | None = _tls()
    timeout_s: float = _seconds(10.0, 0.1, 600.0)


@dataclasses.dataclass(frozen=True)
class BurnSettings:
    """Settings of the burn-rate report."""

    sources: tuple[str, ...] = loader.setting(
        allowed='a list of /metrics URLs of entries',
        check=lambda value: bool(value) and all(map(loader.is_url, value)),
    )
    history_file: str = loader.setting(
        'burn-history.jsonl', allowed='path of the sample history'
    )
    first_token_s: float = _seconds(1.5, 0.001, 60.0)
    between_tokens_s: float = _seconds(0.033, 0.001, 60.0)
    latency_objective: float = loader.setting(
        0.95, allowed='a share from 0.5 to 1', check=loader.in_range(0.5, 1)
    )
    availability_objective: float = loader.setting(
        0.999, allowed='a share from 0.5 to 1', check=loader.in_range(0.5, 1)
    )
    short_window_s: float = _seconds(300.0, 1.0, 86_400.0)
    long_window_s: float = _seconds(3_600.0, 1.0, 604_800.0)
