"""The platform object that records one organisation's budget for one day.

``budgets/<organisation>/<day>`` holds ``{"reserved", "writes", "recent"}``:
the number of reserved tokens, the number of writes so far, and the nonces of
the latest writes. Tokens are reserved here before they can be used, so a crash
can leave unused tokens reserved but never causes overspending.
"""

from __future__ import annotations

import dataclasses
import secrets
from typing import Any

from ..store import api, confirmed_put

PREFIX = 'budgets/'
MAX_RECENT_NONCES = 32


@dataclasses.dataclass(frozen=True)
class BudgetRecord:
    """One version of the object; ABSENT if it does not exist."""

    version: int = api.ABSENT
    reserved: int = 0
    writes: int = 0
    recent: tuple[str, ...] = ()

    def with_change(self, tokens: int, nonce: str) -> dict[str, Any]:
        """Return the value of a write that reserves *tokens* more."""
        return {
            'reserved': self.reserved + tokens,
            'writes': self.writes + 1,
            'recent': [*self.recent[-MAX_RECENT_NONCES + 1 :], nonce],
        }

    def disproves(self, nonce: str, base: BudgetRecord) -> bool:
        """Return whether this record proves that a write had no effect.

        The write is identified by *nonce* and was based on *base*. Nothing is
        proven if there were more writes since *base* than nonces are listed.
        """
        is_covered = self.writes - base.writes <= len(self.recent)
        is_superseded = self.version != base.version
        return is_covered and is_superseded and nonce not in self.recent


def key(organisation: str, day: str) -> str:
    """Return the key of the object."""
    return f'{PREFIX}{organisation}/{day}'


def new_nonce() -> str:
    """Return a unique identifier for a write."""
    return secrets.token_hex(8)


def parse(found: api.StoredObject | None) -> BudgetRecord:
    """Parse a stored object; None is parsed as an absent record."""
    if found is None:
        return BudgetRecord()
    value = found.value
    return BudgetRecord(
        found.version,
        value['reserved'],
        value['writes'],
        tuple(value['recent']),
    )


async def read(store: api.ObjectStore, object_key: str) -> BudgetRecord:
    """Read the record.

    :raises api.PlatformUnavailable: the platform did not answer.
    """
    return parse(await store.get(object_key))


async def write(
    store: api.ObjectStore,
    object_key: str,
    base: BudgetRecord,
    tokens: int,
    nonce: str,
) -> BudgetRecord:
    """Add *tokens*, which may be negative, to the reserved tokens.

    :raises api.Conflict: another write came first. An HTTP client that resends
        a request on a new connection can report a conflict for a write that
        took effect, so the caller has to look for the nonce in a later read.
    :raises api.PlatformUnavailable: the outcome is unknown.
    """
    found = await confirmed_put.confirmed_put(
        store,
        object_key,
        base.with_change(tokens, nonce),
        base.version,
        lambda value: nonce in value['recent'],
    )
    return parse(found)
