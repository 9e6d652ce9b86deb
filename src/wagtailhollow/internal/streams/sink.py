"""The interface to which the answer to a call is written."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class AnswerSink(Protocol):
    """Receives the answer to a call."""

    @property
    def is_started(self) -> bool:
        """Return whether part of the answer was sent to the caller."""

    def set_data_centre(self, data_centre: str) -> None:
        """Set the data centre of the target that is being tried."""

    async def start(self, status: int, headers: Mapping[str, str]) -> None:
        """Send the status and the headers of the answer."""

    async def write(self, data: bytes) -> None:
        """Send a chunk of the body, waiting for a slow reader."""

    async def finish(self) -> None:
        """End the body."""
