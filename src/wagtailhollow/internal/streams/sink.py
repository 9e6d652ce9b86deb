"""Where the answer to one call goes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class AnswerSink(Protocol):
    """Where the answer to one call goes."""

    @property
    def is_started(self) -> bool:
        """Return whether the caller has received anything."""

    def set_data_centre(self, data_centre: str) -> None:
        """Note the data centre of the target that is tried now."""

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the head of the answer."""

    async def write(self, data: bytes) -> None:
        """Send a piece of the body; waits for a slow reader."""

    async def finish(self) -> None:
        """End the body."""
