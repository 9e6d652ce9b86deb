"""The interface through which an agent controls the engine of its rank."""

from __future__ import annotations

import dataclasses
from typing import Protocol


class EngineCommandError(Exception):
    """The engine refused a command or did not answer it.

    A command that was not answered may still take effect later.
    """


@dataclasses.dataclass(frozen=True)
class EngineMapState:
    """Map state of the engine of one rank.

    :ivar epoch: number of the active map.
    :ivar staged: epochs whose weights are loaded, including the active one.
    :ivar held: whether the engine is paused at a step boundary.
    :ivar step: number of completed steps.
    :ivar fencing: highest fencing token of a command; 0 if the engine ignores
        fencing tokens.
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
    """Cumulative counters since the start of the engine.

    :ivar layers: by layer, tokens by expert.
    :ivar busy_s: time spent computing.
    """

    layers: tuple[tuple[int, ...], ...]
    busy_s: float


class EngineControl(Protocol):
    """Queries and commands for the map switch.

    Each method raises :class:`EngineCommandError`. The fencing token lets an
    engine refuse commands of an earlier leader; some engines ignore it.
    """

    async def map_state(self) -> EngineMapState:
        """Return the current state."""

    async def expert_load(self) -> EngineExpertLoad:
        """Return the expert load counters."""

    async def current_map(self) -> list[list[list[int]]]:
        """Return the active placement: layer, rank, slot."""

    async def stage_map(
        self, epoch: int, placement: bytes, fencing: int
    ) -> None:
        """Start loading the weights of a map into spare slots."""

    async def hold(self, fencing: int) -> EngineMapState:
        """Pause at the next step boundary."""

    async def activate(self, epoch: int, fencing: int) -> EngineMapState:
        """Activate a staged map; allowed only while held."""

    async def release(self, epoch: int, fencing: int) -> EngineMapState:
        """Resume stepping if *epoch* is the active one."""
