"""Conditional writes whose lost answers are settled by reading back."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from . import api

READ_BACK_ATTEMPTS = 4
READ_BACK_PAUSE_S = 0.2


async def confirmed_put(
    store: api.ObjectStore,
    key: str,
    value: Any,
    expected: int,
    is_applied: Callable[[Any], bool],
) -> api.StoredObject:
    """Write conditionally; if the answer is lost, find out what happened.

    *is_applied* tells from a value read back whether this write is in it or in
    its history, usually by a nonce that no other write has. The write itself
    is never sent twice.

    :raises api.Conflict: the write did not take effect.
    :raises api.PlatformUnavailable: it cannot be known; the write may still
        take effect.
    """
    try:
        return await store.put(key, value, expected)
    except (api.PlatformUnavailable, api.Conflict):
        # A conflict is read back too: something between here and the
        # platform may have sent the write twice, and then the second copy
        # conflicts with the first.
        found = await _read_back(store, key)
    if found is not None and is_applied(found.value):
        return found
    version = api.ABSENT if found is None else found.version
    if version != expected:
        raise api.Conflict(key)
    # Unchanged so far, but the write may still be on its way to the platform.
    raise api.PlatformUnavailable(f'{key}: the write could not be settled')


async def _read_back(
    store: api.ObjectStore, key: str
) -> api.StoredObject | None:
    for _ in range(READ_BACK_ATTEMPTS - 1):
        try:
            return await store.get(key)
        except api.PlatformUnavailable:
            await asyncio.sleep(READ_BACK_PAUSE_S)
    return await store.get(key)
