"""How documents of one kind are followed; an adapter implements it."""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import Generic, Protocol, TypeVar

T = TypeVar('T')
T_co = TypeVar('T_co', covariant=True)


class SourceUnavailable(Exception):
    """The store did not answer, or turned the call away."""


class HistoryGone(Exception):
    """The changes since the known revision are no longer kept."""


@dataclasses.dataclass(frozen=True)
class Listing(Generic[T]):
    """All documents of one kind, by name, as of a revision."""

    documents: Mapping[str, T]
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes(Generic[T]):
    """Changed documents by name, None for a removed one."""

    documents: Mapping[str, T | None]
    revision: int


class ChangeSource(Protocol[T_co]):
    """Reads and watches the documents of one kind.

    Both methods raise :class:`SourceUnavailable`; answers are linearizable.
    """

    async def read(self) -> Listing[T_co]:
        """Return all documents."""

    async def watch(self, revision: int, wait_s: float) -> Changes[T_co]:
        """Return the changes after *revision*.

        Returns without changes no sooner than *wait_s* after the call.

        :raises HistoryGone: the documents have to be read again.
        """
