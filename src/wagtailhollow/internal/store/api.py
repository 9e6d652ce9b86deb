"""Interface to the platform's objects and host list.

The platform assigns versions: positive integers that increase with each write
of any object.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol


class PlatformUnavailable(Exception):
    """No usable response from the platform; a write may have taken effect."""


class Conflict(Exception):
    """The object of a conditional write has another version than expected."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """An object in the platform's store.

    :ivar key: path-like name, for example ``config/table``.
    :ivar version: version of the last write.
    :ivar value: any JSON value.
    """

    key: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class HostRow:
    """One process of the platform's host list.

    :ivar node: name of the process.
    :ivar role: ``entry`` or ``agent``.
    :ivar data_centre: name of the data centre it runs in.
    :ivar address: ``host:port`` for peer connections.
    :ivar state: ``live`` or ``leaving``.
    :ivar target: for agents, the target on the same host.
    :ivar service: for agents, the service of that target.
    :ivar group: for ranks, the name of the group, else ''.
    :ivar rank: for ranks, the index in the group, else -1.
    """

    node: str
    role: str
    data_centre: str
    address: str
    state: str = 'live'
    target: str = ''
    service: str = ''
    group: str = ''
    rank: int = -1


@dataclasses.dataclass(frozen=True)
class HostList:
    """Host list at a revision."""

    revision: int
    hosts: tuple[HostRow, ...]


ABSENT = 0
"""Expected version for creating an object that must not exist."""


class ObjectStore(Protocol):
    """Conditional reads and writes of objects, and the host list.

    Each method raises :class:`PlatformUnavailable` if it gets no response.
    """

    async def get(
        self, key: str, known_version: int | None = None
    ) -> StoredObject | None:
        """Return the object, or None if it does not exist.

        If the object is still at *known_version*, its value is not
        transferred; the result then has the value None.
        """

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose key starts with *prefix*."""

    async def put(self, key: str, value: Any, expected: int) -> StoredObject:
        """Write the object if its version is *expected* (ABSENT: create).

        :raises Conflict: the object has another version.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Delete the object if its version is *expected*.

        :raises Conflict: the object has another version.
        """

    async def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> StoredObject | None:
        """Return the object once its version exceeds *after_version*.

        Returns None after *timeout_s* without such a change.
        """

    async def hosts(self, known_revision: int) -> HostList | None:
        """Return the host list, or None if still at *known_revision*."""

    async def close(self) -> None:
        """Close the connections."""
