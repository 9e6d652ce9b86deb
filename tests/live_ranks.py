"""Reports and statuses of ranks, for tests of the live map switch."""

from __future__ import annotations

from typing import Any

from wagtailhollow.internal.datagram import messages
from wagtailhollow.internal.experts.live import model


def status(number: int, **fields: Any) -> messages.RankStatus:
    """Return the status of a rank in an open group of four."""
    return messages.RankStatus(
        rank=number, group='g', size=4, is_open=True, epoch=1, **fields
    )


def report(**fields: Any) -> model.RankReport:
    """Return the report of rank 0 in an open group, not in a switch."""
    values = {
        'group': 'g',
        'epoch': 1,
        'rank': 0,
        'size': 2,
        'is_open': True,
        'step': 10,
        'map_version': 3,
        'prepared': None,
        'armed': None,
        'held_step': None,
        'running': 0,
        'waiting': 0,
        'memory_used': 0,
        'start_time_ms': 5,
    }
    return model.RankReport(**(values | fields))
