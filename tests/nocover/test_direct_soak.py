"""Short soaks of the direct entry; for long ones see the soak's module."""

from __future__ import annotations

import asyncio

import pytest

from proof import direct_soak

SECONDS = 12.0
MIN_SERVED = 0.3
"""Share of calls that are served at least. A tenth of the calls crashes
engines, and the others meet entries that are down and engines that fail."""


@pytest.mark.parametrize('seed', [2, 3])
def test_promises_hold_under_overlapping_faults(seed):
    """Guards against calls to leaving targets, and prompts that crash many.

    With these seeds DRAIN or BUDGET was broken before both were fixed.
    """
    soak = direct_soak.Soak(seed, SECONDS)
    assert asyncio.run(soak.run()) == []
    assert soak.served() >= MIN_SERVED
