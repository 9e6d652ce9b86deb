"""The load that a target has reported."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The last load report of a target.

    :ivar made_s: when its agent asked the target, by the clock of the view.
    :ivar own_calls: calls of this entry that ran at the target at that time.
    :ivar is_open: whether the target's group was serving.
    :ivar pass_s: mean duration of an engine pass, 0 if unknown.
    :ivar period_s: period of the agent's reports, 0 if unknown.
    """

    made_s: float
    running: int
    waiting: int
    own_calls: int
    is_open: bool
    pass_s: float = 0.0
    period_s: float = 0.0
