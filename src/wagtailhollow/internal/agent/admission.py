"""Admission control at the target, applied to the calls of all entries."""

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
    """Decides whether one more call may start at the target.

    :ivar draining: whether this agent process is stopping.
    :ivar is_listed_as_leaving: whether the host list has this agent as
        leaving.
    """

    def __init__(
        self,
        data_centre: str,
        target: str,
        ramp: ramp_module.Ramp,
        table_view,
    ) -> None:
        """Create a controller.

        :param table_view: returns the current ``TableView``, or None if the
            agent has no table yet.
        """
        self._data_centre = data_centre
        self._target = target
        self._ramp = ramp
        self._table_view = table_view
        self._slots = itertools.count()
        self._started_s: dict[int, float] = {}
        self._untracked: int | None = None
        self.draining = False
        self.is_listed_as_leaving = False
        self.health = Health.UNKNOWN

    @property
    def running(self) -> int:
        """Return the number of running calls that this agent started."""
        return len(self._started_s)

    @property
    def untracked_running(self) -> int:
        """Return the number of running calls that this agent does not track.

        They were started by an earlier agent or could not be cancelled.
        """
        return self._untracked or 0

    @property
    def is_leaving(self) -> bool:
        """Return whether new calls are refused because of a planned stop."""
        return self.draining or self.is_listed_as_leaving

    def check(self) -> None:
        """Raise Refusal if a new call may not start now."""
        view: queries.TableView | None = self._table_view()
        if view is None:
            raise _refusal(
                errors.ErrorKind.NOT_READY,
                'the agent has received no table yet',
            )
        if self.is_leaving:
            raise _refusal(
                errors.ErrorKind.TARGET_DRAINING, 'the target is leaving'
            )
        if view.is_withdrawn(self._data_centre, self._target):
            raise _refusal(
                errors.ErrorKind.TARGET_WITHDRAWN,
                'the target or its data centre is withdrawn',
            )
        if self.health is not Health.UP:
            raise _refusal(
                errors.ErrorKind.NOT_READY,
                'the target does not answer load queries',
            )
        if self.running + self.untracked_running >= self._ramp.cap:
            raise _refusal(
                errors.ErrorKind.TARGET_FULL,
                f'{self.running} calls from this agent and '
                f'{self.untracked_running} others run at the target; the cap '
                f'is {self._ramp.cap}',
            )

    def admit(self) -> int:
        """Count a call that passed :meth:`check`; return its slot."""
        slot = next(self._slots)
        self._started_s[slot] = time.monotonic()
        metrics.target_running.set(self.running)
        return slot

    def release(self, slot: int, may_still_run: bool = False) -> None:
        """Release the slot of a call.

        :param may_still_run: whether the target may still execute the call,
            which then counts as untracked until a report shows that it ended.
        """
        del self._started_s[slot]
        if may_still_run:
            self._untracked = self.untracked_running + 1
        metrics.target_running.set(self.running)

    def started_before(self, time_s: float) -> int:
        """Return how many running calls were admitted before *time_s*."""
        return sum(start_s < time_s for start_s in self._started_s.values())

    def limit_untracked(self, count: int) -> None:
        """Lower the number of untracked calls to *count*.

        :param count: upper bound derived from a load report.

        Only this agent starts calls, so reports never raise the number after
        the first one. A higher figure comes from calls of this agent that the
        report includes but that are too recent to be subtracted.
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


def _refusal(kind: errors.ErrorKind, message: str) -> errors.Refusal:
    metrics.gate_refusals.labels(kind.value).inc()
    return errors.Refusal(kind, message)
