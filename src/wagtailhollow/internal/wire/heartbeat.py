"""Timer and delta encoding of heartbeats.

One timer serves all connections of a process. Only the client side of a
connection sends heartbeats on it; the server side replies to each immediately.
With one timer per connection and side, an entry with 48 targets woke up 96
times a second, which used 2.9% of a core; with a shared timer the replies
arrive together.

Fields that rarely change (names and document versions) are omitted from four
of five heartbeats if unchanged; the receiver restores them from the last
heartbeat that had them.
"""

from __future__ import annotations

import asyncio
import weakref
from typing import Protocol

from .gen import ttypes

PERIOD_S = 1.0
FULL_EVERY = 5
"""One of this many heartbeats has all fields, so that a receiver without them
gets them within this many. With a full one in 3, an entry with 48 targets used
6.4 KB/s, above the limit of 6 KB/s for control traffic."""


class Tickable(Protocol):
    """An object that the heartbeat timer calls periodically."""

    def tick(self) -> None:
        """Send a heartbeat if due; close if the peer has timed out."""


class _Ticker:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._members: set[Tickable] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, member: Tickable) -> None:
        self._members.add(member)
        if self._timer is None:
            self._timer = self._loop.call_later(PERIOD_S, self._tick)

    def remove(self, member: Tickable) -> None:
        self._members.discard(member)
        if not self._members and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _tick(self) -> None:
        self._timer = self._loop.call_later(PERIOD_S, self._tick)
        for member in list(self._members):
            member.tick()


_TICKERS: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, _Ticker] = (
    weakref.WeakKeyDictionary()
)


def ticker() -> _Ticker:
    """Return the heartbeat timer of the running event loop."""
    loop = asyncio.get_running_loop()
    if loop not in _TICKERS:
        _TICKERS[loop] = _Ticker(loop)
    return _TICKERS[loop]


class DeltaEncoder:
    """Omits fields that the peer has from an earlier heartbeat."""

    def __init__(self) -> None:
        self._sent_count = 0
        self._documents: list[ttypes.DocumentVersion] = []
        self._names: tuple[str, str, list[str]] | None = None

    def encode(self, message: ttypes.Heartbeat) -> ttypes.Heartbeat:
        """Return *message*, modified in place."""
        is_full = self._sent_count % FULL_EVERY == 0
        self._sent_count += 1
        if message.documents == self._documents and not is_full:
            message.documents = []
        else:
            self._documents = message.documents
        load = message.load
        if load is not None:
            names = (load.target, load.service_name, load.models)
            if names == self._names and not is_full:
                load.target, load.service_name, load.models = '', '', []
            else:
                self._names = names
        return message


class DeltaDecoder:
    """Restores the fields that the peer omitted."""

    def __init__(self) -> None:
        self._documents: list[ttypes.DocumentVersion] = []
        self._names: tuple[str, str, list[str]] | None = None

    def decode(self, message: ttypes.Heartbeat) -> ttypes.Heartbeat:
        """Return *message*, modified in place."""
        if message.documents:
            self._documents = message.documents
        else:
            message.documents = self._documents
        load = message.load
        if load is None:
            return message
        if load.target:
            self._names = (load.target, load.service_name, load.models)
        elif self._names is not None:
            load.target, load.service_name, load.models = self._names
        else:
            # No heartbeat with the names has arrived yet; drop the load until
            # the next full one.
            message.load = None
        return message
