"""Admission at the target: every new call passes here, whoever sends it."""

from __future__ import annotations

import enum

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


class Gate:
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
        self.running = 0
        self.foreign_running = 0
        self.draining = False
        self.health = Health.UNKNOWN

    def check(self) -> None:
        """Raise Refusal if a new call may not start now."""
        view: queries.TableView | None = self._table_view()
        if view is None:
            raise _refused(
                errors.ErrorKind.NOT_READY, 'this agent has no table yet'
            )
        if self.draining:
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
        if self.running + self.foreign_running >= self._ramp.cap:
            raise _refused(
                errors.ErrorKind.TARGET_FULL,
                f'{self.running} calls run, the cap is {self._ramp.cap}',
            )

    def enter(self) -> None:
        """Count a call that passed :meth:`check`."""
        self.running += 1
        metrics.target_running.set(self.running)

    def leave(self) -> None:
        """End the count of one call."""
        self.running -= 1
        metrics.target_running.set(self.running)

    def state(self) -> int:
        """Return the ``ttypes.TargetState`` for heartbeats."""
        view: queries.TableView | None = self._table_view()
        if self.draining:
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
