"""In-memory object store, peers and virtual time for limit methods."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import selectors
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

from wagtailhollow import errors
from wagtailhollow.internal.limits import baselines, blocks, method
from wagtailhollow.internal.store import api
from wagtailhollow.internal.table import model
from wagtailhollow.internal.wire.gen import ttypes

# Importing these modules registers the limit methods.
_REGISTERED_METHODS = (blocks, baselines)

DAY_START_S = 1_767_225_600.0
"""2026-01-01 00:00 UTC, so that days do not depend on the system clock."""


class VirtualTimeSelector(selectors.SelectSelector):
    """Advances virtual time instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the time by *timeout* and return at once."""
        if timeout is None:
            raise RuntimeError('no timer is scheduled: the run would hang')
        self.now_s += max(0.0, timeout)
        return []


def run_in_virtual_time(work: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run *work* on an event loop whose clock is virtual."""
    selector = VirtualTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s
    try:
        return loop.run_until_complete(work())
    finally:
        loop.close()


class MemoryStore:
    """Object store in memory with delays, outages and lost answers.

    :ivar hang_s: delay of each call before it is executed or fails.
    :ivar lose_answers: number of writes that will take effect and then raise.
    :ivar repeat_lost_writes: whether such a write is sent a second time, as an
        HTTP client does with a PUT after a connection loss.
    """

    def __init__(
        self, delay_s: tuple[float, float] = (0.0, 0.0), seed: int = 0
    ) -> None:
        self._objects: dict[str, api.StoredObject] = {}
        self._revision = 0
        self._delay_s = delay_s
        self._rng = random.Random(seed)
        self.is_down = False
        self.hang_s = 0.0
        self.lose_answers = 0
        self.repeat_lost_writes = False
        self.calls = 0

    async def get(
        self, key: str, known_version: int | None = None
    ) -> api.StoredObject | None:
        """See :class:`api.ObjectStore`."""
        await self._begin_call()
        found = self._objects.get(key)
        await self._delay()
        return found

    async def put(
        self, key: str, value: Any, expected: int
    ) -> api.StoredObject:
        """See :class:`api.ObjectStore`."""
        await self._begin_call()
        self._check_version(key, expected)
        self._revision += 1
        stored = api.StoredObject(key, self._revision, value)
        self._objects[key] = stored
        await self._delay()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            if self.repeat_lost_writes:
                # An HTTP client may repeat a PUT on a new connection.
                self._check_version(key, expected)
            raise api.PlatformUnavailable('answer lost')
        return stored

    async def delete(self, key: str, expected: int) -> None:
        """See :class:`api.ObjectStore`."""
        await self._begin_call()
        self._check_version(key, expected)
        self._objects.pop(key, None)
        await self._delay()

    def _check_version(self, key: str, expected: int) -> None:
        found = self._objects.get(key)
        if (found.version if found else api.ABSENT) != expected:
            raise api.Conflict(key)

    async def _begin_call(self) -> None:
        self.calls += 1
        await self._delay()
        await asyncio.sleep(self.hang_s)
        if self.is_down:
            raise api.PlatformUnavailable('down')

    async def _delay(self) -> None:
        await asyncio.sleep(self._rng.uniform(*self._delay_s))


@dataclasses.dataclass
class Network:
    """Entries in one process that exchange messages in memory.

    :ivar rows: organisations of the table, by name.
    :ivar believed_down: pairs (entry, other) where the entry takes the other
        one to be down.
    :ivar dead: entries that answer no messages.
    :ivar messages: number of messages of each kind.
    """

    store: MemoryStore
    rows: dict[str, model.Organisation]
    names: tuple[str, ...]
    method_name: str = 'owner_blocks'
    message_delay_s: float = 0.0005
    believed_down: set[tuple[str, str]] = dataclasses.field(
        default_factory=set
    )
    dead: set[str] = dataclasses.field(default_factory=set)
    entries: dict[str, Any] = dataclasses.field(default_factory=dict)
    messages: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    day_offset_s: float = 0.0

    def start(self) -> None:
        """Create all entries; needs a running event loop."""
        for name in self.names:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Replace an entry by a new one without state."""
        clock = asyncio.get_running_loop().time
        self.dead.discard(name)
        self.entries[name] = method.create(
            self.method_name,
            method.Context(
                self.store,
                _Peers(self, name),
                self.rows.get,
                clock,
                lambda: DAY_START_S + 3600 + clock() + self.day_offset_s,
            ),
        )

    def reserved(self, organisation: str) -> int:
        """Return the tokens of an organisation reserved in the store."""
        return sum(
            item.value['reserved']
            for key, item in self.store._objects.items()
            if key.startswith(f'budgets/{organisation}/')
        )


class _Peers:
    """See :class:`method.Peers`."""

    def __init__(self, network: Network, node: str) -> None:
        self._network = network
        self.node = node

    def live(self) -> list[str]:
        return list(self._reachable())

    def listed_count(self) -> int:
        return len(self._network.names)

    async def request_block(
        self, owner: str, message: ttypes.BlockRequest
    ) -> ttypes.BlockGrant:
        self._network.messages['request'] += 1
        await asyncio.sleep(self._network.message_delay_s)
        if owner in self._network.dead:
            raise method.OwnerUnreachable(owner)
        target: blocks.OwnerBlocks = self._network.entries[owner]
        try:
            return await target.owner.grant(message)
        finally:
            await asyncio.sleep(self._network.message_delay_s)

    def return_block(self, owner: str, message: ttypes.BlockReturn) -> bool:
        self._network.messages['return'] += 1
        if owner not in self._network.dead:
            self._network.entries[owner].owner.accept_return(message)
        return True

    def _reachable(self) -> Iterator[str]:
        for name in self._network.names:
            if name == self.node or (
                name not in self._network.dead
                and (self.node, name) not in self._network.believed_down
            ):
                yield name


async def try_reserve(
    entry: method.LimitMethod, organisation: str, tokens: int
) -> method.Reservation | errors.Refusal:
    """Reserve tokens for a call; return the reservation or the refusal."""
    try:
        return await entry.reserve(organisation, tokens)
    except errors.Refusal as exc:
        return exc
