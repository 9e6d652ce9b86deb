"""How far ahead of the last step a switch holds its step."""

from __future__ import annotations

import math

MIN_LOOKAHEAD_STEPS = 3
"""The held step is at least this far ahead of the last step that the own rank
reports to have begun: with 3, two steps lie between them. All ranks have to be
armed before the held step begins. That takes a message each way and an order:
20 ms, or 60 ms if the order is repeated, which is about one step. The other
two allow for steps that are already under way."""

MAX_LOOKAHEAD_STEPS = 16
"""Upper bound of this distance when orders have to be repeated often: 0.8 s at
the default pass time. The held step is set this far ahead because a group that
waits at it for the orders delays all its streams."""

ARMING_TIME_FACTOR = 1.25
"""Time allowed for arming all ranks, as a multiple of the slowest of the last
switches."""

ARMING_TIME_DECAY = 0.7
"""Factor by which the recorded arming time decays with each switch."""

DEFAULT_PASS_S = 0.05


class ArmingTimes:
    """Time that the last switches took to arm all ranks."""

    def __init__(self) -> None:
        self._slowest_s = 0.0

    def add(self, took_s: float) -> None:
        """Record the time that a switch took."""
        self._slowest_s = max(took_s, self._slowest_s * ARMING_TIME_DECAY)

    def lookahead_steps(self, pass_s: float) -> int:
        """Return the distance of the next held step from the last one begun.

        :param pass_s: duration of a pass, 0 if unknown.
        """
        needed = self._slowest_s * ARMING_TIME_FACTOR
        steps = math.ceil(needed / (pass_s or DEFAULT_PASS_S)) + 1
        return min(max(MIN_LOOKAHEAD_STEPS, steps), MAX_LOOKAHEAD_STEPS)
