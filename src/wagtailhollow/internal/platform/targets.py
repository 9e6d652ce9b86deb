"""Decodes the registrations of engines (kind ``servers``)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from ..directory import model

KIND = 'servers'

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
    if not isinstance(spec['slots'], int) or spec['slots'] < 1:
        raise ValueError('slots must be a positive integer')
    host, _, port = spec['address'].rpartition(':')
    if not host or not port.isdigit():
        raise ValueError('address must be host:port')
    born = spec.get('born', 0)
    return model.TargetRecord(
        name=name,
        # A restarted engine may keep its name, but ``born`` differs.
        started_ms=born if isinstance(born, int) else 0,
        service=spec['service'],
        address=spec['address'],
        data_centre=spec['zone'],
        slots=spec['slots'],
        state=_STATES[spec['state']],
        cold_s=float(spec.get('cold_left_ms') or 0) / 1000,
    )
