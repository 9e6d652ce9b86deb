"""Admission at the target: every new call passes here, whoever sends it."""

from __future__ import annotations

import enum
import itertools
import time

from ... import errors
from ..observability import metrics
from ..table import queries
from ..wire.gen import ttypes
from . import ramp as ramp_module


class Health(enum.Enum):
    """Whether the target answers the agent's load queries."""

    UNKNOWN = 'unknown'
    UP = 'up'
    DOWN = 'down'


class AdmissionController:
    """Decides whether the target may take one more call now."""

    def __init__(
        self,
        data_centre: str,
        target: str,
        ramp: ramp_module.Ramp,
        table_view,
    ) -> None:
        """Create a gate.

        :param table_view: returns the current ``TableView``, or None.
        """
        self._data_centre = data_centre
        self._target = target
        self._ramp = ramp
        self._table_view = table_view
        self._slots = itertools.count()
        self._started_s: dict[int, float] = {}
        self._untracked: int | None = None
        self.draining = False
        self.leaving = False
        self.health = Health.UNKNOWN

    @property
    def running(self) -> int:
        """Return the calls of this agent that run at the target."""
        return len(self._started_s)

    @property
    def untracked_running(self) -> int:
        """Return the calls that run there unknown to this agent."""
        return self._untracked or 0

    @property
    def is_leaving(self) -> bool:
        """Return whether new calls are refused for good."""
        return self.draining or self.leaving

    def check(self) -> None:
        """Raise Refusal if a new call may not start now."""
        view: queries.TableView | None = self._table_view()
        if view is None:
            raise _refused(
                errors.ErrorKind.NOT_READY, 'this agent has no table yet'
            )
        if self.is_leaving:
            raise _refused(
                errors.ErrorKind.TARGET_DRAINING, 'the target is leaving'
            )
        if view.is_withdrawn(self._data_centre, self._target):
            raise _refused(
                errors.ErrorKind.TARGET_WITHDRAWN,
                'operators have taken out the target or its data centre',
            )
        if self.health is not Health.UP:
            raise _refused(
                errors.ErrorKind.NOT_READY, 'the target does not answer'
            )
        if self.running + self.untracked_running >= self._ramp.cap:
            raise _refused(
                errors.ErrorKind.TARGET_FULL,
                f'{self.running} calls run and {self.untracked_running} from '
                f'before, the cap is {self._ramp.cap}',
            )

    def admit(self) -> int:
        """Count a call that passed :meth:`check`; return its slot."""
        slot = next(self._slots)
        self._started_s[slot] = time.monotonic()
        metrics.target_running.set(self.running)
        return slot

    def release(self, slot: int, may_still_run: bool = False) -> None:
        """End the count of one call.

        :param may_still_run: the target may still execute it; it is counted
            as foreign until a report shows that it ended.
        """
        del self._started_s[slot]
        if may_still_run:
            self._untracked = self.untracked_running + 1
        metrics.target_running.set(self.running)

    def started_before(self, time_s: float) -> int:
        """Return how many of the running calls started before *time_s*."""
        return sum(start_s < time_s for start_s in self._started_s.values())

    def limit_untracked(self, count: int) -> None:
        """Take the upper bound on foreign calls that a report gives.

        Only this agent starts calls, so their number never grows after the
        first report; a higher figure means calls that the report counts and
        that are too young to be subtracted.
        """
        count = max(0, count)
        if self._untracked is not None:
            count = min(self._untracked, count)
        self._untracked = count

    def state(self) -> int:
        """Return the ``ttypes.TargetState`` for heartbeats."""
        view: queries.TableView | None = self._table_view()
        if self.is_leaving:
            return ttypes.TargetState.DRAINING
        if view is None or self.health is Health.UNKNOWN:
            return ttypes.TargetState.STARTING
        if view.is_withdrawn(self._data_centre, self._target):
            return ttypes.TargetState.WITHDRAWN
        if self.health is Health.DOWN:
            return ttypes.TargetState.FAILED
        return ttypes.TargetState.IN_SERVICE


def _refused(kind: errors.ErrorKind, message: str) -> errors.Refusal:
    metrics.gate_refusals.labels(kind.value).inc()
    return errors.Refusal(kind, message)
