"""The lease of a group's leader.

The version of the lease object is the fencing token; each renewal increases
it. An agent takes the lease over once it has seen the same version for the
full lease duration by its own clock, so clocks of different hosts are never
compared.
"""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable

from absl import logging

from ..store import api, confirmed_put

LEASE_DURATION_S = 10.0
RENEW_PERIOD_S = 3.0
SAFETY_MARGIN_S = 1.0
CANDIDATE_POLL_S = 0.5


def lease_key(group: str) -> str:
    """Return the key of the lease object of a group."""
    return f'groups/{group}/lease'


class Lease:
    """The lease of one group as one agent sees it."""

    def __init__(
        self,
        store: api.ObjectStore,
        group: str,
        node: str,
        is_candidate: Callable[[], bool],
    ) -> None:
        """Create the view of the lease.

        :param is_candidate: whether this agent may take the lease. Only a
            few agents of a group read it, which limits the platform's load.
        """
        self._store = store
        self._key = lease_key(group)
        self._node = node
        self._is_candidate = is_candidate
        self._version = 0
        self._valid_until_s = 0.0
        self._observed_version = -1
        self._observed_at_s = 0.0

    @property
    def fencing(self) -> int | None:
        """Return the fencing token, or None without a valid lease.

        Safety does not depend on this check: ranks refuse lower ballots even
        from a leader that was paused after it.
        """
        if time.monotonic() < self._valid_until_s:
            return self._version
        return None

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            try:
                if not self._is_candidate() and self.fencing is None:
                    await asyncio.sleep(CANDIDATE_POLL_S)
                    continue
                await self._acquire_or_renew()
            except api.Conflict:
                self._version = 0
                self._valid_until_s = 0.0
            except api.PlatformUnavailable as exc:
                logging.warning(
                    'lease %s not read or written: %s', self._key, exc
                )
            await asyncio.sleep(RENEW_PERIOD_S * random.uniform(0.8, 1.0))

    async def _acquire_or_renew(self) -> None:
        if self.fencing is not None:
            await self._write(self._version)
            return
        found = await self._store.get(self._key)
        version = found.version if found is not None else api.ABSENT
        now_s = time.monotonic()
        if version != self._observed_version:
            self._observed_version, self._observed_at_s = version, now_s
        if (
            version == api.ABSENT
            or now_s - self._observed_at_s > LEASE_DURATION_S
        ):
            await self._write(version)
            logging.info('lease %s acquired', self._key)

    async def _write(self, expected: int) -> None:
        nonce = secrets.token_hex(8)
        started_s = time.monotonic()
        stored = await confirmed_put.confirmed_put(
            self._store,
            self._key,
            {'holder': self._node, 'nonce': nonce},
            expected,
            lambda value: value['nonce'] == nonce,
        )
        self._version = stored.version
        self._valid_until_s = started_s + LEASE_DURATION_S - SAFETY_MARGIN_S
