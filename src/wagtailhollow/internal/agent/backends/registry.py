"""The interface to a target and the registry of its kinds."""

from __future__ import annotations

import dataclasses
from collections.abc import AsyncIterator, Callable, Mapping
from typing import Protocol

BACKENDS: dict[str, Callable[..., Backend]] = {}


class BackendError(Exception):
    """The target failed a call.

    :ivar started: whether the target may have begun to execute it.
    """

    def __init__(self, message: str, started: bool) -> None:
        super().__init__(message)
        self.started = started


@dataclasses.dataclass(frozen=True)
class BackendCall:
    """One call as the target receives it.

    :ivar call_id: unique; the name of the stream at an engine.
    :ivar priority: higher is served first, where the target honours it.
    """

    call_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    priority: int = 0


@dataclasses.dataclass(frozen=True)
class BackendAnswer:
    """Head of an answer and the iterator over its body.

    :ivar discard: closes the answer if its body is not read.
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
    """What a target last said of itself.

    :ivar generation: differs after each start of the target.
    :ivar running: calls that it executes.
    :ivar queued: calls that wait in it.
    :ivar completed: calls completed since its start.
    :ivar uptime_s: time since its start.
    :ivar first_token_ms: recent median, 0 if unknown.
    :ivar cached_prefixes: prefixes in its cache; -1 if it has none.
    """

    generation: int
    running: int
    queued: int = 0
    completed: int = 0
    uptime_s: float = 0.0
    first_token_ms: float = 0.0
    cached_prefixes: int = -1


class Backend(Protocol):
    """Everything an agent does with its target."""

    @property
    def can_resume(self) -> bool:
        """Return whether an answer can be resumed at an offset."""

    async def start(self, call: BackendCall) -> BackendAnswer:
        """Start a call; raises :class:`BackendError`."""

    async def resume(self, call_id: str, offset: int) -> BackendAnswer:
        """Go on with a running answer; raises :class:`BackendError`."""

    async def cancel(self, call_id: str) -> bool:
        """Stop a call; return whether it certainly no longer runs."""

    async def load(self) -> BackendLoad:
        """Return the present load; raises :class:`BackendError`."""

    async def close(self) -> None:
        """Release the connections."""


def backend(kind: str):
    """Register a class as the adapter to targets of *kind*."""

    def register(cls: type) -> type:
        BACKENDS[kind] = cls
        return cls

    return register
