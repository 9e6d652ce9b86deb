"""The platform object of one organisation's budget for one day.

``budgets/<organisation>/<day>`` holds ``{"reserved", "writes", "recent"}``:
the high-water mark of reserved tokens, the number of writes so far, and the
nonces of the last writes. Tokens are reserved here before anybody may use
them, so a crash can only count too much.
"""

from __future__ import annotations

import dataclasses
import secrets
from typing import Any

from ..store import api, settled_put

PREFIX = 'budgets/'
RECENT_LIMIT = 32


@dataclasses.dataclass(frozen=True)
class BudgetRecord:
    """One state of the object; version ABSENT if it does not exist."""

    version: int = api.ABSENT
    reserved: int = 0
    writes: int = 0
    recent: tuple[str, ...] = ()

    def with_change(self, tokens: int, nonce: str) -> dict[str, Any]:
        """Return the value after one more write."""
        return {
            'reserved': self.reserved + tokens,
            'writes': self.writes + 1,
            'recent': [*self.recent[-RECENT_LIMIT + 1 :], nonce],
        }

    def disproves(self, nonce: str, base: BudgetRecord) -> bool:
        """Return whether a write based on *base* is proven not in effect.

        That is known only while the list of nonces reaches back to *base*.
        """
        is_covered = self.writes - base.writes <= len(self.recent)
        is_superseded = self.version != base.version
        return is_covered and is_superseded and nonce not in self.recent


def key(organisation: str, day: str) -> str:
    """Return the key of the object."""
    return f'{PREFIX}{organisation}/{day}'


def new_nonce() -> str:
    """Return a value that no other write has."""
    return secrets.token_hex(8)


def parse(found: api.StoredObject | None) -> BudgetRecord:
    """Return the record in *found*."""
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

    :raises api.PlatformUnavailable: no answer came.
    """
    return parse(await store.get(object_key))


async def write(
    store: api.ObjectStore,
    object_key: str,
    base: BudgetRecord,
    tokens: int,
    nonce: str,
) -> BudgetRecord:
    """Add *tokens* (may be negative) to the high-water mark.

    :raises api.Conflict: another write came first. An HTTP client that sends
        a request again on a new connection can report this for a write that
        took effect, so a later read has to be searched for the nonce.
    :raises api.PlatformUnavailable: the outcome is not known.
    """
    found = await settled_put.settled_put(
        store,
        object_key,
        base.with_change(tokens, nonce),
        base.version,
        lambda value: nonce in value['recent'],
    )
    return parse(found)
