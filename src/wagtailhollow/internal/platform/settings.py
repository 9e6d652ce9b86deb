"""Decodes the settings file that the platform writes for each process."""

from __future__ import annotations

import os
import pathlib
import tomllib
from collections.abc import Mapping
from typing import Any

from ..hostcfg import model

PATH_VARIABLE = 'WAGTAILHOLLOW_CONFIG'
_BYTES_PER_MEGABIT = 1_000_000 / 8
_BYTES_PER_MEGABYTE = 1024 * 1024


class SettingsError(ValueError):
    """The settings file is missing, unreadable or invalid."""


def path() -> str:
    """Return the path of the settings file; raises SettingsError."""
    value = os.environ.get(PATH_VARIABLE, '')
    if not value:
        raise SettingsError(
            f'set {PATH_VARIABLE} to the path of the settings file'
        )
    return value


def load(file: str) -> model.HostSettings:
    """Read and decode a settings file; raises SettingsError."""
    try:
        return decode(tomllib.loads(pathlib.Path(file).read_text()))
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f'{file}: {exc}') from exc
    except KeyError as exc:
        raise SettingsError(f'{file}: missing field {exc}') from exc
    except (TypeError, ValueError) as exc:
        raise SettingsError(
            f'{file}: invalid value of a field: {exc}'
        ) from exc


def decode(row: Mapping[str, Any]) -> model.HostSettings:
    """Return the settings; raises KeyError for a missing field."""
    listen = row.get('listen', {})
    limits = row.get('limits') or {}
    first, last = row['internal_ports']
    return model.HostSettings(
        node=row['node_name'],
        ip=row['ip'],
        data_centre=row['zone'],
        region=row['region'],
        regions=dict(row.get('zones', {})),
        store_address=row['platform']['address'],
        callers_address=listen.get('front', ''),
        readiness_address=listen.get('readiness', ''),
        internal_ports=(first, last),
        target_address=row.get('app', ''),
        target_service=row.get('service', ''),
        bounds=_decode_bounds(row['bounds']),
        link_bytes_per_s=_decode_link(limits),
        max_files=_decode_files(limits),
        memory_bytes=_decode_memory(limits),
    )


def _decode_link(row: Mapping[str, Any]) -> float:
    """Return the bandwidth in bytes a second; raises ValueError."""
    if 'link_mbps' not in row:
        return model.DEFAULT_LINK_BYTES_PER_S
    if row['link_mbps'] <= 0:
        raise ValueError('limits.link_mbps must be positive')
    return row['link_mbps'] * _BYTES_PER_MEGABIT


def _decode_memory(row: Mapping[str, Any]) -> int:
    """Return the memory in bytes; raises ValueError."""
    if 'memory_mb' not in row:
        return model.DEFAULT_MEMORY_BYTES
    if row['memory_mb'] <= 0:
        raise ValueError('limits.memory_mb must be positive')
    return int(row['memory_mb'] * _BYTES_PER_MEGABYTE)


def _decode_files(row: Mapping[str, Any]) -> int:
    """Return the file descriptors; raises ValueError."""
    files = row.get('max_fds', model.DEFAULT_MAX_FILES)
    if not isinstance(files, int) or files <= 0:
        raise ValueError('limits.max_fds must be a positive integer')
    return files


def _decode_bounds(row: Mapping[str, Any]) -> model.Bounds:
    """Return the bounds; those of features not in use may be absent."""
    default = model.Bounds()

    def seconds(name: str, default_s: float) -> float:
        if name not in row:
            return default_s
        if row[name] <= 0:
            raise ValueError(f'bounds.{name} must be positive')
        return row[name] / 1000

    return model.Bounds(
        revoke_s=row['revoke_ms'] / 1000,
        is_revocation_strict=row['strict_revocation'],
        retry_ratio=row['retry_budget_ratio'],
        retry_slack=row['retry_budget_slack'],
        retry_window_s=row['budget_window_s'],
        cold_factor=row['cold_overage'],
        cold_slack=row['cold_slack'],
        grace_s=row['grace_s'],
        settle_s=seconds('stable_window_ms', default.settle_s),
        apply_s=seconds('config_apply_ms', default.apply_s),
        drain_s=seconds('drain_ms', default.drain_s),
        withdraw_s=seconds('evacuate_ms', default.withdraw_s),
        stall_s=row['stall_ms'] / 1000,
    )
