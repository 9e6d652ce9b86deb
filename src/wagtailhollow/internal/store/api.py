"""The interface to the platform; one adapter implements it.

Versions are positive integers assigned by the platform; a later write of any
object has a higher version.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Protocol


class PlatformUnavailable(Exception):
    """The platform did not answer; a write may have taken effect."""


class Conflict(Exception):
    """A conditional write found another version than expected."""


@dataclasses.dataclass(frozen=True)
class StoredObject:
    """One object of the platform.

    :ivar key: path-like name, for example ``config/table``.
    :ivar version: version of the last write.
    :ivar value: any JSON value.
    """

    key: str
    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class HostRow:
    """One process on one host, as the platform's host list names it.

    :ivar node: name of the process.
    :ivar role: ``entry`` or ``agent``.
    :ivar data_centre: where it runs.
    :ivar address: ``host:port`` for peers.
    :ivar state: ``live`` or ``leaving``.
    :ivar target: for agents, the target beside it.
    :ivar service: for agents, the service of that target.
    :ivar group: for ranks, the name of the group, else ''.
    :ivar rank: for ranks, the number in the group, else -1.
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
    """The host list and its revision."""

    revision: int
    hosts: tuple[HostRow, ...]


ABSENT = 0
"""Expected version of an object that must not exist yet."""


class ObjectStore(Protocol):
    """Conditional reads and writes of objects, and the host list.

    Each method raises :class:`PlatformUnavailable` if no answer came.
    """

    async def get(
        self, key: str, known_version: int | None = None
    ) -> StoredObject | None:
        """Return the object, or None if it does not exist.

        With *known_version*, an unchanged object is returned with the value
        None, which saves its transfer.
        """

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return all objects whose key starts with *prefix*."""

    async def put(self, key: str, value: Any, expected: int) -> StoredObject:
        """Write if the object's version is *expected* (ABSENT: create).

        :raises Conflict: the object has another version.
        """

    async def delete(self, key: str, expected: int) -> None:
        """Delete if the object's version is *expected*.

        :raises Conflict: the object has another version.
        """

    async def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> StoredObject | None:
        """Return the object once its version exceeds *after_version*.

        Returns None if that did not happen within *timeout_s*.
        """

    async def hosts(self, known_revision: int) -> HostList | None:
        """Return the host list, or None if it is at *known_revision*."""

    async def close(self) -> None:
        """Release the connections."""
