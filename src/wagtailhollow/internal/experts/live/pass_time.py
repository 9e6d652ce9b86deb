"""How long the passes of a group take, from the steps that a rank reports."""

from __future__ import annotations

import collections

WINDOW_S = 0.5
"""Some ten passes at the usual speed; a switch of maps shows within it."""


class PassTimeEstimator:
    """Mean time of a pass over the last moments."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._began: collections.deque[tuple[float, int]] = collections.deque()
        self._epoch: int | None = None
        self._is_busy = False

    def add(self, now_s: float, epoch: int, step: int, is_busy: bool) -> None:
        """Take in a report.

        :param step: last pass that was begun.
        :param is_busy: whether the rank has requests; an idle group makes no
            passes.
        """
        if epoch != self._epoch or (is_busy and not self._is_busy):
            self._began.clear()
        self._epoch = epoch
        self._is_busy = is_busy
        if not self._began or step != self._began[-1][1]:
            self._began.append((now_s, step))
        while (
            len(self._began) > 2
            and now_s - self._began[1][0] >= self._window_s
        ):
            self._began.popleft()

    def pass_s(self, now_s: float) -> float:
        """Return the mean time of a pass, 0 if it is not known.

        While the group stands still it is the time since its last pass.
        """
        if not self._is_busy or not self._began:
            return 0.0
        (first_s, first), (last_s, last) = self._began[0], self._began[-1]
        mean_s = (last_s - first_s) / (last - first) if last > first else 0.0
        standing_s = now_s - last_s
        return standing_s if standing_s > 2 * mean_s + 0.1 else mean_s
