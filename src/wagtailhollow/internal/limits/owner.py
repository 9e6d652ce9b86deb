"""The budget owner: reserves chunks at the platform and grants blocks.

A chunk is an amount of tokens that the owner has reserved in the platform's
budget record. A block is what an entry may spend without asking again: tokens
of a chunk, requests and concurrency slots. Any entry may act as owner of an
organisation at any time. Concurrent owners reserve separate chunks by
compare-and-swap, so no lease is needed and an owner that was paused may
continue to use its chunk.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import datetime

from absl import logging

from ... import errors
from ..observability import metrics
from ..store import api
from ..table import model
from ..wire.gen import ttypes
from . import buckets, method, record

BLOCK_VALIDITY_S = 5.0
SLOT_LEASE_S = BLOCK_VALIDITY_S + 1.0
"""Longer than an entry uses its slots, to allow for message delay."""

CHUNK_BUDGET_DIVISOR = 100
"""A chunk is at most the daily budget divided by this."""

CHUNK_REMAINDER_DIVISOR = 8
"""A chunk is at most the unreserved tokens divided by this.

Chunks therefore shrink as the budget runs out, and owners hold few tokens that
they do not need.
"""

BLOCK_REMAINDER_DIVISOR = 16
TOP_UP_TIMEOUT_S = 0.7
"""Shorter than an entry waits for its owner, so that it gets the refusal."""

EXHAUSTED_CACHE_S = 1.0
"""How long an exhausted budget refuses calls without another read.

Otherwise each refused call would cause a read at the platform.
"""

MAX_CONFLICTS = 8
MAX_PENDING_RESERVATIONS = 64
IDLE_RELEASE_S = 2.0
RELEASE_ON_CLOSE_TIMEOUT_S = 5.0
RECORD_RETENTION_DAYS = 2
WARNING_SHARE = 0.8


@dataclasses.dataclass
class _Slots:
    count: int
    expires_s: float


class _Budget:
    """This owner's part of one organisation's budget for one day.

    :ivar held: tokens reserved at the platform and not granted in blocks.
    :ivar in_blocks: tokens granted in blocks, also spent ones, less those
        that entries returned here.
    :ivar record: the latest known record; None if it has to be read.
    :ivar reserved_seen: reserved tokens in the latest known record; kept while
        *record* is None.
    :ivar pending: tokens by nonce of the reservations whose outcome is
        unknown; credited once, when a record contains the nonce.
    :ivar wanted: tokens needed by waiting requests.
    :ivar exhausted_need: block requests for at least this many tokens cause no
        top-up until *exhausted_until_s*.
    :ivar last_used_s: time of the last block request for tokens.
    """

    def __init__(self, organisation: str, day: str, now_s: float) -> None:
        self.organisation = organisation
        self.day = day
        self.key = record.key(organisation, day)
        self.held = 0
        self.in_blocks = 0
        self.record: record.BudgetRecord | None = None
        self.reserved_seen = 0
        self.pending: dict[str, int] = {}
        self.wanted = 0
        self.top_up: asyncio.Task[None] | None = None
        self.is_unavailable = False
        self.exhausted_need = 0
        self.exhausted_until_s = now_s
        self.has_warned = False
        self.last_used_s = now_s

    def apply_record(self, found: record.BudgetRecord) -> None:
        """Apply a record and credit the pending reservations found in it."""
        if self.record is None or found.version >= self.record.version:
            self.record = found
            self.reserved_seen = found.reserved
        for nonce in set(self.pending) & set(found.recent):
            self.held += self.pending.pop(nonce)

    def add_pending(self, nonce: str, tokens: int) -> None:
        """Record a reservation before it is sent."""
        self.pending[nonce] = tokens
        if len(self.pending) > MAX_PENDING_RESERVATIONS:
            # The tokens of the dropped reservation count as spent.
            del self.pending[next(iter(self.pending))]


class BudgetOwner:
    """Grants blocks to entries."""

    def __init__(self, context: method.Context) -> None:
        self._context = context
        self._budgets: dict[str, _Budget] = {}
        self._buckets: dict[str, buckets.TokenBucket] = {}
        self._slots: dict[str, dict[str, _Slots]] = {}
        self._live_entries: tuple[str, ...] = ()
        self._live_entries_changed_s = context.clock()

    async def grant(self, message: ttypes.BlockRequest) -> ttypes.BlockGrant:
        """Answer a block request.

        ``requests`` and ``tokens`` are what the entry needs now, 0 for none;
        ``concurrent`` is the total number of slots that it needs.

        :raises Refusal: one of the three cannot be granted.
        """
        row = self._context.limits(message.organisation)
        if row is None:
            raise errors.Refusal(
                errors.ErrorKind.FORBIDDEN,
                f'no organisation is named {message.organisation!r}',
            )
        self.update_live_entries()
        slots = self._grant_slots(message, row)
        requests = self._grant_requests(message, row)
        try:
            block_id, tokens = await self._grant_tokens(message, row)
        except errors.Refusal:
            if requests:
                self._bucket(message.organisation, row).refund(requests)
            raise
        return ttypes.BlockGrant(
            message.organisation,
            requests,
            tokens,
            slots,
            int(BLOCK_VALIDITY_S * 1000),
            None,
            block_id,
        )

    def accept_return(self, message: ttypes.BlockReturn) -> None:
        """Accept the unused part of a block that any owner granted."""
        row = self._context.limits(message.organisation)
        if row is None:
            return
        if message.requests > 0 and row.requests_per_s:
            bucket = self._bucket(message.organisation, row)
            bucket.refund(message.requests)
        # The block id is the day of the budget.
        if message.tokens > 0 and message.block_id == self._context.day():
            budget = self._budget(message.organisation)
            budget.held += message.tokens
            budget.in_blocks = max(0, budget.in_blocks - message.tokens)

    async def release_unowned(self, owner_of) -> None:
        """Release the chunks whose owner is now another entry."""
        now_s = self._context.clock()
        for budget in list(self._budgets.values()):
            if budget.day != self._context.day():
                self._budgets.pop(budget.organisation, None)
            elif (
                budget.held
                and now_s - budget.last_used_s >= IDLE_RELEASE_S
                and owner_of(budget.organisation) != self._context.peers.node
            ):
                await self._release(budget)

    async def close(self) -> None:
        """Release all chunks; those that fail count as spent."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_ON_CLOSE_TIMEOUT_S):
                for budget in list(self._budgets.values()):
                    if budget.held:
                        await self._release(budget)

    def held(self, organisation: str) -> int:
        """Return the tokens of *organisation* that are held outside blocks."""
        budget = self._budgets.get(organisation)
        return budget.held if budget else 0

    def update_live_entries(self) -> None:
        """Record a change of the live entries, which may change owners."""
        view = tuple(sorted(self._context.peers.live()))
        if view != self._live_entries:
            self._live_entries = view
            self._live_entries_changed_s = self._context.clock()

    def _live_share(self) -> float:
        """Return the share of rate and concurrency that this owner may grant.

        It is proportional to the live entries, so that owners with disjoint
        live lists together grant no more than the limit, without asking the
        platform.
        """
        listed = max(
            self._context.peers.listed_count(), len(self._live_entries)
        )
        return len(self._live_entries) / listed

    def _grant_slots(
        self, message: ttypes.BlockRequest, row: model.Organisation
    ) -> int:
        if not row.max_concurrent:
            return 0
        now_s = self._context.clock()
        held = self._slots.setdefault(message.organisation, {})
        others = sum(
            item.count
            for entry, item in held.items()
            if entry != message.entry and item.expires_s > now_s
        )
        limit = max(1, int(row.max_concurrent * self._live_share()))
        allowed = max(0, limit - others)
        spare = max(0, allowed - message.concurrent)
        slots = message.concurrent
        if message.concurrent:
            slots += spare // (2 * len(self._live_entries))
        slots = min(slots, allowed)
        if now_s - self._live_entries_changed_s < SLOT_LEASE_S:
            # Slots granted by the previous owner may still be in use.
            slots = min(slots, max(1, limit // len(self._live_entries)))
        held[message.entry] = _Slots(slots, now_s + SLOT_LEASE_S)
        if message.concurrent and not slots:
            raise method.concurrency_exceeded(row.max_concurrent)
        return slots

    def _grant_requests(
        self, message: ttypes.BlockRequest, row: model.Organisation
    ) -> int:
        if not row.requests_per_s or not message.requests:
            return 0
        bucket = self._bucket(message.organisation, row)
        spare = max(0, bucket.available - message.requests)
        extra = spare // (2 * len(self._live_entries))
        granted = min(bucket.available, message.requests + extra)
        if granted < 1:
            raise method.rate_exceeded(row.requests_per_s)
        bucket.take(granted)
        return granted

    def _bucket(
        self, organisation: str, row: model.Organisation
    ) -> buckets.TokenBucket:
        now_s = self._context.clock()
        bucket = self._buckets.get(organisation)
        if bucket is None:
            bucket = self._buckets[organisation] = buckets.TokenBucket(now_s)
            # The first call of an organisation must not be refused.
            bucket.refund(1)
        bucket.refill(row.requests_per_s * self._live_share(), now_s)
        return bucket

    async def _grant_tokens(
        self, message: ttypes.BlockRequest, row: model.Organisation
    ) -> tuple[str, int]:
        needed = message.tokens
        if not row.tokens_per_day or needed <= 0:
            return '', 0
        budget = self._budget(message.organisation)
        budget.last_used_s = self._context.clock()
        is_exhausted = needed >= budget.exhausted_need and (
            self._context.clock() < budget.exhausted_until_s
        )
        if budget.held < needed and not is_exhausted:
            await self._wait_for_tokens(budget, needed)
        if budget.held < needed:
            raise self._refusal(budget, needed)
        remaining = budget.held + max(
            0, row.tokens_per_day - budget.reserved_seen
        )
        entries = max(1, len(self._live_entries))
        extra = min(
            4 * needed,
            (budget.held - needed) // (2 * entries),
            remaining // (BLOCK_REMAINDER_DIVISOR * entries),
        )
        granted = needed + max(0, extra)
        budget.held -= granted
        budget.in_blocks += granted
        self._report_usage(budget, row)
        return budget.day, granted

    async def _wait_for_tokens(self, budget: _Budget, needed: int) -> None:
        budget.wanted += needed
        try:
            async with asyncio.timeout(TOP_UP_TIMEOUT_S):
                # All waiting requests share one top-up. The second iteration
                # covers requests that arrived while it was being written.
                for _ in range(2):
                    if budget.top_up is None:
                        budget.top_up = asyncio.create_task(
                            self._top_up(budget, needed)
                        )
                    await asyncio.shield(budget.top_up)
                    if budget.held >= needed:
                        return
        except TimeoutError:
            budget.is_unavailable = True
        finally:
            budget.wanted -= needed

    async def _top_up(self, budget: _Budget, needed: int) -> None:
        try:
            for _ in range(MAX_CONFLICTS):
                if await self._reserve(budget, needed):
                    budget.is_unavailable = False
                    return
        except api.PlatformUnavailable as exc:
            budget.is_unavailable = True
            # The write may still take effect; read before the next one.
            budget.record = None
            logging.warning(
                'budget of %s not topped up: %s', budget.organisation, exc
            )
        finally:
            budget.top_up = None

    async def _reserve(self, budget: _Budget, needed: int) -> bool:
        """Try to reserve a chunk; return False on a conflict."""
        if budget.record is None:
            found = await record.read(self._context.store, budget.key)
            budget.apply_record(found)
            if found.version == api.ABSENT:
                await self._delete_expired_record(budget)
        base = budget.record
        row = self._context.limits(budget.organisation)
        total = row.tokens_per_day if row else 0
        remaining = total - base.reserved
        # Reserves enough for all waiting requests if possible, but at least
        # enough for the one that started this top-up.
        short = max(0, needed - budget.held)
        wanted = max(short, budget.wanted - budget.held)
        chunk = min(
            total // CHUNK_BUDGET_DIVISOR, remaining // CHUNK_REMAINDER_DIVISOR
        )
        amount = min(remaining, max(wanted, chunk))
        if amount < short or amount <= 0:
            # Read before refusing: another owner may have released tokens.
            if base.version != api.ABSENT and not (
                await self._is_current(budget)
            ):
                return False
            budget.exhausted_need = needed
            budget.exhausted_until_s = (
                self._context.clock() + EXHAUSTED_CACHE_S
            )
            return True
        nonce = record.new_nonce()
        budget.add_pending(nonce, amount)
        try:
            found = await record.write(
                self._context.store, budget.key, base, amount, nonce
            )
        except api.Conflict:
            budget.record = None
            return False
        budget.apply_record(found)
        return True

    async def _is_current(self, budget: _Budget) -> bool:
        base = budget.record
        found = await record.read(self._context.store, budget.key)
        budget.apply_record(found)
        return found.version == base.version

    async def _delete_expired_record(self, budget: _Budget) -> None:
        """Delete the record that is past its retention, once a day."""
        today = datetime.date.fromisoformat(budget.day)
        old = today - datetime.timedelta(days=RECORD_RETENTION_DAYS)
        old_key = record.key(budget.organisation, old.isoformat())
        try:
            found = await self._context.store.get(old_key)
            if found is not None:
                await self._context.store.delete(old_key, found.version)
        except (api.Conflict, api.PlatformUnavailable) as exc:
            logging.info('budget record %s not deleted: %r', old_key, exc)

    async def _release(self, budget: _Budget) -> None:
        """Subtract the tokens held here from the reserved ones."""
        if budget.top_up is not None:
            return
        amount = 0
        try:
            for _ in range(MAX_CONFLICTS):
                base = await record.read(self._context.store, budget.key)
                budget.apply_record(base)
                # Cleared before the write, which may take effect even if its
                # answer is lost.
                amount, budget.held = budget.held, 0
                nonce = record.new_nonce()
                try:
                    found = await record.write(
                        self._context.store, budget.key, base, -amount, nonce
                    )
                    budget.apply_record(found)
                    return
                except api.Conflict:
                    found = await record.read(self._context.store, budget.key)
                    budget.apply_record(found)
                    if not found.disproves(nonce, base):
                        return
                    budget.held += amount
                    amount = 0
        except api.PlatformUnavailable as exc:
            budget.record = None
            logging.warning(
                'chunk not released, %d tokens of %s count as spent: %s',
                amount,
                budget.organisation,
                exc,
            )

    def _refusal(self, budget: _Budget, needed: int) -> errors.Refusal:
        if budget.is_unavailable:
            return method.platform_unavailable()
        # Other entries return the unused tokens of their blocks.
        retry_after_s = (
            BLOCK_VALIDITY_S
            if budget.in_blocks + budget.held >= needed
            else self._context.seconds_to_next_day()
        )
        return method.budget_exhausted(needed, retry_after_s)

    def _report_usage(self, budget: _Budget, row: model.Organisation) -> None:
        used = budget.reserved_seen - budget.held
        share = used / row.tokens_per_day
        metrics.budget_used_share.labels(budget.organisation).set(share)
        if share >= WARNING_SHARE and not budget.has_warned:
            budget.has_warned = True
            metrics.budget_warnings.labels(budget.organisation).inc()
            logging.warning(
                'organisation %s has spent or reserved %.0f%% of its %d '
                'tokens for %s',
                budget.organisation,
                share * 100,
                row.tokens_per_day,
                budget.day,
            )

    def _budget(self, organisation: str) -> _Budget:
        day = self._context.day()
        budget = self._budgets.get(organisation)
        if budget is None or budget.day != day:
            budget = _Budget(organisation, day, self._context.clock())
            self._budgets[organisation] = budget
        return budget
