"""What the agents of a group know of their engines and ask of them."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

ExpertsByLayer = Sequence[Sequence[int]]
"""Experts of one rank, by layer."""


class Phase(enum.IntEnum):
    """What the ranks are to do."""

    IDLE = 0
    PREPARE = 1
    HOLD = 2
    ARM = 3
    ABORT = 4
    RELEASE = 5


class OrderResult(enum.Enum):
    """Outcome of an order.

    ``UNKNOWN``: no answer; it may have been carried out, or may be carried
    out seconds later, after newer orders.
    """

    DONE = 'done'
    CONFLICT = 'conflict'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class EngineUnavailable(Exception):
    """The engine did not answer a question."""


@dataclasses.dataclass(frozen=True, slots=True)
class ArmedMap:
    """A version that comes into effect when a step begins."""

    version: int
    step: int


@dataclasses.dataclass(frozen=True, slots=True)
class RankReport:
    """What an engine says of itself.

    :ivar start_time_ms: Unix time of its start.
    :ivar prepared: version whose weights have all arrived, or None.
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
    """How often each expert was chosen since the engine started.

    :ivar counts: all layers one after the other.
    """

    epoch: int
    counts: Sequence[int]


@dataclasses.dataclass(frozen=True, slots=True)
class RankMaps:
    """Experts of one rank: in effect, and prepared for a later version."""

    epoch: int
    version: int
    experts: ExpertsByLayer
    prepared_version: int | None


class RankEngine(Protocol):
    """Questions and orders to the engine of one rank.

    Questions raise :class:`EngineUnavailable`. Orders are refused in another
    epoch than the one they name.
    """

    async def report(self) -> RankReport | None:
        """Return the state, None if the engine belongs to no group."""

    async def activation_counts(self) -> ActivationCounts:
        """Return how often the experts were chosen."""

    async def maps(self) -> RankMaps:
        """Return the experts of the rank."""

    async def prepare(
        self, epoch: int, version: int, experts: Sequence[ExpertsByLayer]
    ) -> OrderResult:
        """Copy the weights of a map, given by rank and layer."""

    async def arm(self, epoch: int, version: int, step: int) -> OrderResult:
        """Use a prepared map from the beginning of a step."""

    async def disarm(self, epoch: int, version: int) -> OrderResult:
        """Do not use an armed map."""

    async def hold(self, epoch: int, step: int) -> OrderResult:
        """Do not begin a step before it is released."""

    async def release(self, epoch: int, step: int) -> OrderResult:
        """Let a held step begin."""
