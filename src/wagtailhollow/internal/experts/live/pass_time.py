"""Estimates the pass time of a group from the steps that a rank reports.

A pass computes one step.
"""

from __future__ import annotations

import collections

WINDOW_S = 0.5
"""About ten passes at the usual pass time, so that the effect of a map switch
shows within it."""

REBALANCE_PASS_SHARE = 0.46
"""Mean pass time from which rebalancing is considered whatever the skew, as a
share of the pause that callers allow between two events of a stream. A shift
in demand doubles the pass time, which still fits below this share."""

REBALANCE_SKEW = 2.0
"""Skew from which rebalancing is considered even if passes are short. The skew
is 2.5 to 3 right after a shift in demand, and load can rise at any time."""


def is_fast_enough(pass_s: float, skew: float, gap_s: float) -> bool:
    """Return whether callers would not notice a better map.

    Rebalancing is not free: copying experts costs the operator and slows the
    passes down while it lasts.

    :param pass_s: duration of a pass, 0 if unknown.
    :param skew: mean skew of the layers.
    :param gap_s: shortest pause between two events of a stream that a route
        allows.
    """
    return 0 < pass_s < REBALANCE_PASS_SHARE * gap_s and skew < REBALANCE_SKEW


class PassTimeEstimator:
    """Mean pass time over a sliding window."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._samples: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._epoch: int | None = None
        self._is_busy = False

    def add(self, now_s: float, epoch: int, step: int, is_busy: bool) -> None:
        """Add a report of the rank.

        :param step: last step that has begun.
        :param is_busy: whether the rank has requests. Without requests, the
            group makes no passes and the pass time is not known.
        """
        if epoch != self._epoch or (is_busy and not self._is_busy):
            self._samples.clear()
        self._epoch = epoch
        self._is_busy = is_busy
        if not self._samples or step != self._samples[-1][1]:
            self._samples.append((now_s, step))
        while (
            len(self._samples) > 2
            and now_s - self._samples[1][0] >= self._window_s
        ):
            self._samples.popleft()

    def pass_s(self, now_s: float) -> float:
        """Return the mean pass time, 0 if it is not known.

        While the group is stalled, this is the time since its last pass began.
        """
        if not self._is_busy or not self._samples:
            return 0.0
        (first_s, first), (last_s, last) = self._samples[0], self._samples[-1]
        mean_s = (last_s - first_s) / (last - first) if last > first else 0.0
        since_last_s = now_s - last_s
        return since_last_s if since_last_s > 2 * mean_s + 0.1 else mean_s
