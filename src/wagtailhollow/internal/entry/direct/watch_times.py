"""How long an entry lets the store hold its watches.

The platform charges each call. A watch without changes returns after its time,
so that the number of calls falls with it. What bounds it is a watch whose
connection has lost its peer: that is noticed after the time of the watch and
the time-out of the call.
"""

from __future__ import annotations

import dataclasses

from ...hostcfg import model
from ...platform import store

RETRY_MARGIN_S = 0.5
"""Time from a failed call to the answer of the next one, with the pause that
collects changes."""

MANIFEST_SHARE = 0.3
"""Largest time of a watch on the manifest, as a share of the bound for
withdrawn keys. A watch that returns confirms the manifest, and keys are
accepted for the rest of the bound after the last confirmation."""

MANIFEST_APPLY_SHARE = 0.75
"""The same as a share of the time in which a manifest has to be in force:
routes and keys are denied only by a manifest that was confirmed within it."""

BATCH_SHARE = 0.125
"""Pause that collects changes of targets, which often change in groups, as a
share of the time in which calls to a leaving target have to stop."""

MIN_WATCH_S = 0.5
MAX_WATCH_S = 20.0
"""The store holds a watch for 30 s at most."""


@dataclasses.dataclass(frozen=True)
class WatchTimes:
    """Times for which the store holds watches.

    :ivar targets_batch_s: pause after a change of the targets.
    """

    manifest_s: float
    targets_s: float
    targets_batch_s: float
    withdrawals_s: float


def from_bounds(bounds: model.Bounds) -> WatchTimes:
    """Return the longest times that keep the bounds of the deployment."""
    manifest_s = min(
        _within(bounds.apply_s, bounds),
        MANIFEST_APPLY_SHARE * bounds.apply_s,
        MANIFEST_SHARE * bounds.revoke_s,
    )
    return WatchTimes(
        manifest_s,
        _within(bounds.drain_s, bounds),
        BATCH_SHARE * bounds.drain_s,
        _within(bounds.withdraw_s, bounds),
    )


def _within(bound_s: float, bounds: model.Bounds) -> float:
    """Return the longest watch after whose loss a bound still holds."""
    longest_s = (
        bounds.settle_s + bound_s - store.CALL_TIMEOUT_S - RETRY_MARGIN_S
    )
    return min(max(MIN_WATCH_S, longest_s), MAX_WATCH_S)
