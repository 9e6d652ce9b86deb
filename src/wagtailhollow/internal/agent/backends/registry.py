"""The interface of target adapters and the registry of their kinds."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Protocol

BACKENDS: dict[str, Callable[..., Backend]] = {}


class BackendError(Exception):
    """A request to the target failed.

    :ivar started: whether the target may have started to execute the call.
    """

    def __init__(self, message: str, started: bool) -> None:
        super().__init__(message)
        self.started = started


@dataclasses.dataclass(frozen=True)
class BackendCall:
    """A call as it is sent to the target.

    :ivar call_id: unique; also identifies the stream at an engine.
    :ivar priority: calls with a higher priority are served first by targets
        that support it.
    """

    call_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    priority: int = 0


@dataclasses.dataclass(frozen=True)
class BackendAnswer:
    """The head of an answer and an iterator over its body.

    :ivar discard: closes an answer whose body is not read.
    """

    status: int
    headers: Mapping[str, str]
    chunks: AsyncIterator[bytes]
    discard: Callable[[], None] = lambda: None

    @property
    def is_stream(self) -> bool:
        """Return whether the body is an event stream."""
        return 'event-stream' in self.headers.get('content-type', '')


@dataclasses.dataclass(frozen=True)
class BackendLoad:
    """A load report of the target.

    :ivar generation: changes with each start of the target.
    :ivar running: number of calls in execution.
    :ivar queued: number of calls that wait inside the target.
    :ivar completed: number of calls completed since the target started.
    :ivar uptime_s: time since the target started.
    :ivar first_token_ms: recent median of the first-token time; 0 if unknown.
    :ivar cached_prefixes: number of prefixes in the cache; -1 if the target
        does not report it.
    """

    generation: int
    running: int
    queued: int = 0
    completed: int = 0
    uptime_s: float = 0.0
    first_token_ms: float = 0.0
    cached_prefixes: int = -1


class Backend(Protocol):
    """The operations that an agent needs from its target."""

    @property
    def can_resume(self) -> bool:
        """Return whether an answer can be resumed at an offset."""

    async def start(self, call: BackendCall) -> BackendAnswer:
        """Start a call; raises :class:`BackendError`."""

    async def resume(self, call_id: str, offset: int) -> BackendAnswer:
        """Resume an answer at *offset*; raises :class:`BackendError`."""

    async def cancel(self, call_id: str) -> bool:
        """Cancel a call; return whether it has certainly ended."""

    async def load(self) -> BackendLoad:
        """Query the current load; raises :class:`BackendError`."""

    async def close(self) -> None:
        """Close the connections."""


def backend(kind: str):
    """Register a class as the adapter to targets of *kind*."""

    def register(cls: type) -> type:
        BACKENDS[kind] = cls
        return cls

    return register
