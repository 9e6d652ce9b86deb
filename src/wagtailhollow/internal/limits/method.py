"""Registry and common interface of the limit methods.

A limit method enforces ``requests_per_s``, ``max_concurrent`` and
``tokens_per_day`` of an organisation across all entries. The maximum number of
tokens of a call is reserved before the call starts; unused tokens are freed
when it ends.
"""

from __future__ import annotations

import dataclasses
import time
from collections.abc import Callable, Sequence
from typing import Protocol

from ... import errors
from ..store import api
from ..table import model
from ..wire.gen import ttypes

METHODS: dict[str, Callable[[Context], LimitMethod]] = {}

SECONDS_PER_DAY = 86_400


class Peers(Protocol):
    """Access to the other entries."""

    @property
    def node(self) -> str:
        """Return the name of this entry."""

    def live(self) -> Sequence[str]:
        """Return the entries that are reachable now, including this one."""

    def listed_count(self) -> int:
        """Return the number of entries in the host list, at least 1."""

    async def request_block(
        self, owner: str, message: ttypes.BlockRequest
    ) -> ttypes.BlockGrant:
        """Request a block from another entry.

        :raises OwnerUnreachable: the owner did not answer.
        :raises Refusal: the owner refused.
        """

    def return_block(self, owner: str, message: ttypes.BlockReturn) -> bool:
        """Return unused parts of a block to another entry.

        Returns whether the message was sent.
        """


class OwnerUnreachable(Exception):
    """An entry did not answer a block request."""


@dataclasses.dataclass(frozen=True)
class Context:
    """Dependencies of a limit method.

    :ivar limits: returns the table row of an organisation, or None.
    :ivar clock: monotonic seconds.
    :ivar wall_clock: Unix seconds; determines the (UTC) day of a budget.
    """

    store: api.ObjectStore
    peers: Peers
    limits: Callable[[str], model.Organisation | None]
    clock: Callable[[], float] = time.monotonic
    wall_clock: Callable[[], float] = time.time

    def day(self) -> str:
        """Return the current day as ``YYYY-MM-DD``."""
        return time.strftime('%Y-%m-%d', time.gmtime(self.wall_clock()))

    def seconds_to_next_day(self) -> float:
        """Return the time until the budgets are reset."""
        return SECONDS_PER_DAY - self.wall_clock() % SECONDS_PER_DAY


class Reservation(Protocol):
    """One call and its maximum number of tokens, reserved until settled."""

    def settle(self, used_tokens: int) -> None:
        """End the call and free the tokens beyond *used_tokens*."""


class LimitMethod(Protocol):
    """Enforces the limits of organisations."""

    async def reserve(self, organisation: str, tokens: int) -> Reservation:
        """Atomically check and reserve one call and *tokens*.

        :raises Refusal: LIMIT_EXCEEDED, BUDGET_EXHAUSTED or
            PLATFORM_UNAVAILABLE; nothing remains reserved.
        """

    async def run(self) -> None:
        """Do periodic maintenance until cancelled."""

    async def close(self) -> None:
        """Return unused reservations, as far as possible."""


def limit_method(name: str):
    """Register a class as the limit method *name*."""

    def register(cls: type) -> type:
        METHODS[name] = cls
        return cls

    return register


def create(name: str, context: Context) -> LimitMethod:
    """Create the limit method *name*.

    :raises ValueError: there is no such method; the message lists all names.
    """
    if name not in METHODS:
        raise ValueError(
            f'limit_method: got {name!r}; allowed: one of '
            + ', '.join(sorted(METHODS))
        )
    return METHODS[name](context)


def rate_exceeded(rate: float) -> errors.Refusal:
    """Return the refusal of a call above ``requests_per_s``."""
    return errors.Refusal(
        errors.ErrorKind.LIMIT_EXCEEDED,
        f'the organisation is limited to {rate:g} requests per second',
        retry_after_s=max(1.0, 1 / rate),
    )


def concurrency_exceeded(limit: int) -> errors.Refusal:
    """Return the refusal of a call above ``max_concurrent``."""
    return errors.Refusal(
        errors.ErrorKind.LIMIT_EXCEEDED,
        f'the organisation is limited to {limit} calls at the same time',
        retry_after_s=1.0,
    )


def budget_exhausted(tokens: int, retry_after_s: float) -> errors.Refusal:
    """Return the refusal of a call beyond ``tokens_per_day``."""
    return errors.Refusal(
        errors.ErrorKind.BUDGET_EXHAUSTED,
        f'{tokens} more tokens of the daily budget are needed and cannot be '
        'reserved now',
        retry_after_s=retry_after_s,
    )


def platform_unavailable() -> errors.Refusal:
    """Return the refusal of a call whose budget cannot be checked."""
    return errors.Refusal(
        errors.ErrorKind.PLATFORM_UNAVAILABLE,
        'the budget cannot be checked: the platform does not answer',
        retry_after_s=2.0,
    )
