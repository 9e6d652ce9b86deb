"""Estimates the pass time of a group from the steps that a rank reports.

A pass computes one step.
"""

from __future__ import annotations

import collections

WINDOW_S = 0.5
"""About ten passes at the usual pass time, so that the effect of a map switch
shows within it."""


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
