"""Simpler limit methods: the baselines of ``measure.limits``."""

from __future__ import annotations

import asyncio
import collections

from ... import errors
from ..store import api
from . import buckets, method, record

MAX_CONFLICTS = 32


class _CallbackReservation:
    """Reservation that calls a function when it is settled."""

    def __init__(self, on_settle) -> None:
        self._on_settle = on_settle

    def settle(self, used_tokens: int) -> None:
        """See :meth:`method.Reservation.settle`."""
        on_settle, self._on_settle = self._on_settle, None
        if on_settle is not None:
            on_settle(used_tokens)


class _BaselineMethod:
    """Base class: rate and concurrency are split evenly over the entries."""

    def __init__(self, context: method.Context) -> None:
        self._context = context
        self._share = buckets.LocalShare(context)
        self._tasks: set[asyncio.Task[None]] = set()

    async def reserve(
        self, organisation: str, tokens: int
    ) -> method.Reservation:
        """See :meth:`method.LimitMethod.reserve`."""
        self._share.acquire(organisation)
        row = self._context.limits(organisation)
        budget = row.tokens_per_day if row and tokens else 0
        try:
            if budget:
                await self._spend(organisation, tokens, budget)
        except BaseException:
            self._share.release(organisation)
            raise

        def settle(used_tokens: int) -> None:
            self._share.release(organisation)
            unused = max(0, tokens - used_tokens)
            if budget and unused:
                self._refund(organisation, unused)

        return _CallbackReservation(settle)

    async def run(self) -> None:
        """See :meth:`method.LimitMethod.run`."""

    async def close(self) -> None:
        """See :meth:`method.LimitMethod.close`."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _spend(
        self, organisation: str, tokens: int, budget: int
    ) -> None:
        raise NotImplementedError

    def _refund(self, organisation: str, tokens: int) -> None:
        raise NotImplementedError

    def _exhausted(self, tokens: int) -> errors.Refusal:
        return method.budget_exhausted(
            tokens, self._context.seconds_to_next_day()
        )

    def _start(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@method.limit_method('static_split')
class StaticSplit(_BaselineMethod):
    """Gives each listed entry an equal share of the budget, in memory.

    The unused share of one entry is lost to the others, and a restarted entry
    starts with a full share again.
    """

    def __init__(self, context: method.Context) -> None:
        super().__init__(context)
        self._used: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    async def _spend(
        self, organisation: str, tokens: int, budget: int
    ) -> None:
        account = (organisation, self._context.day())
        share = budget // self._context.peers.listed_count()
        if self._used[account] + tokens > share:
            raise self._exhausted(tokens)
        self._used[account] += tokens

    def _refund(self, organisation: str, tokens: int) -> None:
        self._used[organisation, self._context.day()] -= tokens


class _PlatformMethod(_BaselineMethod):
    """Counts tokens at the platform, with a read and a write per change."""

    async def _spend(
        self, organisation: str, tokens: int, budget: int
    ) -> None:
        try:
            await self._add(organisation, tokens, budget)
        except api.PlatformUnavailable as exc:
            raise method.platform_unavailable() from exc

    def _refund(self, organisation: str, tokens: int) -> None:
        self._start(self._refund_now(organisation, tokens))

    async def _refund_now(self, organisation: str, tokens: int) -> None:
        try:
            await self._add(organisation, -tokens, 0)
        except (api.PlatformUnavailable, errors.Refusal):
            return  # The tokens count as spent.

    async def _add(self, organisation: str, tokens: int, budget: int) -> None:
        raise NotImplementedError


@method.limit_method('shared_counter')
class SharedCounter(_PlatformMethod):
    """Reads, checks and overwrites, so concurrent changes are lost."""

    async def _add(self, organisation: str, tokens: int, budget: int) -> None:
        key = record.key(organisation, self._context.day())
        found = await record.read(self._context.store, key)
        if tokens > 0 and found.reserved + tokens > budget:
            raise self._exhausted(tokens)
        value = found.with_change(tokens, record.new_nonce())
        version = found.version
        for _ in range(MAX_CONFLICTS):
            try:
                await self._context.store.put(key, value, version)
                return
            except api.Conflict:
                newer = await self._context.store.get(key)
                version = newer.version if newer else api.ABSENT
        # The platform answered, but each write met a conflict.
        raise method.platform_unavailable()


@method.limit_method('platform_call')
class PlatformCall(_PlatformMethod):
    """Compare-and-swap at the platform to reserve and to settle each call."""

    async def _add(self, organisation: str, tokens: int, budget: int) -> None:
        store = self._context.store
        key = record.key(organisation, self._context.day())
        for _ in range(MAX_CONFLICTS):
            found = await record.read(store, key)
            if tokens > 0 and found.reserved + tokens > budget:
                raise self._exhausted(tokens)
            try:
                await record.write(
                    store, key, found, tokens, record.new_nonce()
                )
                return
            except api.Conflict:
                continue
        # The platform answered, but each write met a conflict.
        raise method.platform_unavailable()
