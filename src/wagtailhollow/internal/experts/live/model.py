"""Reports from the engines of a group and orders to them."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

ExpertsByLayer = Sequence[Sequence[int]]
"""Experts of one rank, by layer."""


class Phase(enum.IntEnum):
    """What an intent asks the ranks of a group to do.

    - ``IDLE``: nothing, except to obey its term.
    - ``PREPARE``: copy the weights of the intent's map.
    - ``HOLD``: the intent's holder keeps the intent's step from beginning.
    - ``ARM``: let the prepared version take effect at the intent's step.
    - ``ABORT``: disarm, then prepare the intent's version, whose experts are
      those in effect.
    - ``RELEASE``: allow the held step to begin.
    """

    IDLE = 0
    PREPARE = 1
    HOLD = 2
    ARM = 3
    ABORT = 4
    RELEASE = 5


class OrderResult(enum.Enum):
    """Outcome of an order.

    ``UNKNOWN``: no answer arrived. The order may have been executed, or may
    still be executed seconds later, even after newer orders.
    """

    DONE = 'done'
    CONFLICT = 'conflict'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class EngineUnavailable(Exception):
    """The engine did not answer a query."""


@dataclasses.dataclass(frozen=True, slots=True)
class ArmedMap:
    """A map version that takes effect at the beginning of a step."""

    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """State of one rank as reported by its engine.

    :ivar epoch: number of the group's formation, not of a map.
    :ivar size: number of ranks of the group.
    :ivar is_open: whether the group serves requests.
    :ivar step: last step that has begun.
    :ivar map_version: version in effect.
    :ivar prepared: version whose weights have all been copied, or None.
    :ivar held_step: step that does not begin before it is released, or None.
    :ivar running: number of requests that the engine computes.
    :ivar waiting: number of requests that are queued at the engine.
    :ivar start_time_ms: Unix time at which the engine was started.
    """

    group: str
    epoch: int
    rank: int
    size: int
    is_open: bool
    step: int
    map_version: int
    prepared: int | None
    armed: ArmedMap | None
    held_step: int | None
    running: int
    waiting: int
    memory_used: int
    start_time_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ActivationCounts:
    """Number of activations of each expert since the engine was started.

    :ivar epoch: number of the group's formation.
    :ivar counts: counts of all layers, concatenated.
    """

    epoch: int
    counts: Sequence[int]


@dataclasses.dataclass(frozen=True, slots=True)
class RankMaps:
    """Map of one rank that is in effect, and the version being prepared.

    :ivar epoch: number of the group's formation.
    :ivar version: version in effect.
    :ivar preparing_version: version of the last prepare order, whether its
        weights have all been copied or not; or None.
    """

    epoch: int
    version: int
    experts: ExpertsByLayer
    preparing_version: int | None


class RankEngine(Protocol):
    """Queries and orders to the engine of one rank.

    Queries raise :class:`EngineUnavailable`. The engine refuses an order that
    names another epoch than the current one.
    """

    async def report(self) -> RankReport | None:
        """Return the state of the rank, None if it belongs to no group."""

    async def activation_counts(self) -> ActivationCounts:
        """Return how often each expert was activated."""

    async def maps(self) -> RankMaps:
        """Return the experts of the rank and the version being prepared."""

    async def prepare(
        self, epoch: int, version: int, experts: Sequence[ExpertsByLayer]
    ) -> OrderResult:
        """Start copying the weights of a map, given by rank and layer."""

    async def arm(self, epoch: int, version: int, step: int) -> OrderResult:
        """Let a prepared map take effect at the beginning of a step."""

    async def disarm(self, epoch: int, version: int) -> OrderResult:
        """Cancel the order to arm a version."""

    async def hold(self, epoch: int, step: int) -> OrderResult:
        """Keep a step from beginning until it is released."""

    async def release(self, epoch: int, step: int) -> OrderResult:
        """Allow a held step to begin."""
