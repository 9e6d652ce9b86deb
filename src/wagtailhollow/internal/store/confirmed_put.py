"""Conditional writes whose outcome is read back if the response is lost."""

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
    """Write conditionally and determine the outcome if the response is lost.

    The write is sent only once.

    :param is_applied: whether a value that was read back contains this write,
        itself or in its history; usually by a nonce unique to the write.
    :raises api.Conflict: the write did not take effect.
    :raises api.PlatformUnavailable: the outcome is unknown; the write may
        still take effect.
    """
    try:
        return await store.put(key, value, expected)
    except (api.PlatformUnavailable, api.Conflict):
        # Read back after a conflict, too: if a proxy on the path sent the
        # write twice, the second copy conflicts with the first.
        stored = await _read_back(store, key)
    if stored is not None and is_applied(stored.value):
        return stored
    version = api.ABSENT if stored is None else stored.version
    if version != expected:
        raise api.Conflict(key)
    # The object is unchanged, but the write may still be in transit.
    raise api.PlatformUnavailable(
        f'{key}: the outcome of the write is unknown'
    )


async def _read_back(
    store: api.ObjectStore, key: str
) -> api.StoredObject | None:
    for _ in range(READ_BACK_ATTEMPTS - 1):
        try:
            return await store.get(key)
        except api.PlatformUnavailable:
            await asyncio.sleep(READ_BACK_PAUSE_S)
    return await store.get(key)
