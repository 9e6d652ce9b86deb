"""The orders that a rank's engine takes from its agent."""

from __future__ import annotations

import dataclasses
from typing import Protocol


class EngineCommandError(Exception):
    """The engine refused an order or did not answer it.

    An order that was not answered may still take effect later.
    """


@dataclasses.dataclass(frozen=True)
class EngineMapState:
    """Map state of the engine of one rank.

    :ivar epoch: number of the map in effect.
    :ivar staged: epochs whose weights are loaded, the one in effect too.
    :ivar held: whether it stands at a step boundary.
    :ivar step: steps done.
    :ivar fencing: highest number of an order, 0 if it ignores them.
    """

    epoch: int
    staged: tuple[int, ...]
    held: bool
    step: int
    fencing: int = 0

    @property
    def newest_staged(self) -> int:
        """Return the highest staged epoch."""
        return max((*self.staged, self.epoch))


@dataclasses.dataclass(frozen=True)
class EngineExpertLoad:
    """Counters since the start of the engine.

    :ivar layers: by layer, tokens by expert.
    :ivar busy_s: time spent computing.
    """

    layers: tuple[tuple[int, ...], ...]
    busy_s: float


class EngineControl(Protocol):
    """Orders for the map switch; each raises :class:`EngineCommandError`.

    *fencing* lets an engine refuse older orders; some ignore it.
    """

    async def map_state(self) -> EngineMapState:
        """Return the present state."""

    async def expert_load(self) -> EngineExpertLoad:
        """Return the expert load counters."""

    async def current_map(self) -> list[list[list[int]]]:
        """Return the placement in effect: layer, rank, slot."""

    async def stage_map(
        self, epoch: int, placement: bytes, fencing: int
    ) -> None:
        """Begin to load the weights of a map into spare slots."""

    async def hold(self, fencing: int) -> EngineMapState:
        """Stop at the next step boundary."""

    async def activate(self, epoch: int, fencing: int) -> EngineMapState:
        """Put a staged map into effect; only while held."""

    async def release(self, epoch: int, fencing: int) -> EngineMapState:
        """Go on with steps if *epoch* is in effect."""
