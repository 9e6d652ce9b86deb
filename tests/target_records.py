"""Builds registrations of targets for tests of the direct entry."""

from __future__ import annotations

from wagtailhollow.internal.directory import model

SERVICE = 's'
SLOTS = 6


def record(number: int, **fields: object) -> model.TargetRecord:
    """Return the registration of target ``i-<number>``."""
    values = {
        'name': f'i-{number}',
        'started_ms': 1,
        'service': SERVICE,
        'address': f'10.0.0.{number}:80',
        'data_centre': 'dc-1',
        'slots': SLOTS,
        'state': model.TargetState.READY,
    }
    return model.TargetRecord(**(values | fields))
