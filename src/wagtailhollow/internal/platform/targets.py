"""Decodes the registrations of engines (kind ``servers``)."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Mapping
from typing import Any

from ..directory import model

KIND = 'servers'

MAX_SLOTS = 1_000_000
"""More are taken for an error; far above the requests that an engine runs."""

MAX_PORT = 65_535

_OPTIONAL_TYPES = {
    'version': (str,),
    'seq': (int,),
    'born': (int,),
    'cold_left_ms': (int, float),
}

_STATES = {
    'ready': model.TargetState.READY,
    'draining': model.TargetState.LEAVING,
}


def decode(
    name: str, revision: int, spec: Mapping[str, Any]
) -> model.TargetRecord:
    """Return the target; raises ValueError for an invalid registration."""
    texts = [spec['service'], spec['address'], spec['zone']]
    if not all(isinstance(text, str) and text for text in texts):
        raise ValueError('service, address and zone must be non-empty strings')
    for field, types in _OPTIONAL_TYPES.items():
        if type(spec.get(field)) not in (*types, type(None)):
            raise ValueError(f'{field} has another type')
    slots = spec['slots']
    if type(slots) is not int or not 1 <= slots <= MAX_SLOTS:
        raise ValueError(f'slots must be an integer from 1 to {MAX_SLOTS}')
    host, _, port = spec['address'].rpartition(':')
    ipaddress.IPv4Address(host)
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError('address must be IP:port')
    cold_s = float(spec.get('cold_left_ms') or 0) / 1000
    if not math.isfinite(cold_s):
        raise ValueError('cold_left_ms must be finite')
    return model.TargetRecord(
        name=name,
        # A restarted engine may keep its name, but ``born`` differs.
        started_ms=spec.get('born') or 0,
        service=spec['service'],
        address=spec['address'],
        data_centre=spec['zone'],
        slots=slots,
        state=_STATES[spec['state']],
        cold_s=cold_s,
    )
