"""``owner_blocks``: each entry spends blocks granted by an owner entry.

One entry is the owner of an organisation's limits. It grants the entries
blocks of tokens, requests and concurrency slots, from which they admit calls
without asking again.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable

from absl import logging

from ... import errors
from ..membership import rendezvous
from ..observability import metrics
from ..table import model
from ..wire.gen import ttypes
from . import method, owner

MAX_OWNER_ATTEMPTS = 3
SUSPECT_DURATION_S = 3.0
"""How long an owner is skipped after it did not answer.

By then its connection has been closed for silence, so it is no longer live.
"""

REFUSAL_CACHE_S = 0.2
"""How long a refusal answers calls that need at least as much.

Within this time the owner is not asked again.
"""

MAINTENANCE_PERIOD_S = 0.5
SLOT_RENEWAL_MARGIN_S = 2.0
IDLE_SLOT_RELEASE_S = 1.0
"""Unused slots are released after this, before their lease ends."""


@dataclasses.dataclass
class _Block:
    """This entry's part of the limits of one organisation.

    :ivar day: day of the budget that *tokens* belong to.
    :ivar requests: requests that may start, until *until_s*.
    :ivar slots: calls that may run concurrently, until *slots_until_s*.
    :ivar last_used_s: time of the last call admitted from the block.
    :ivar wanted_tokens: sum of the tokens of the calls waiting for the owner.
    :ivar refused: cached refusal for calls that need at least
        *refused_tokens*, until *refused_until_s*.
    """

    tokens: int = 0
    day: str = ''
    requests: int = 0
    until_s: float = 0.0
    slots: int = 0
    slots_until_s: float = 0.0
    running: int = 0
    waiting: int = 0
    wanted_tokens: int = 0
    last_used_s: float = 0.0
    refused: errors.Refusal | None = None
    refused_tokens: int = 0
    refused_until_s: float = 0.0
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)


class _BlockReservation:
    """Reservation from a block; see :class:`method.Reservation`."""

    def __init__(
        self, block: _Block | None, tokens: int = 0, day: str = ''
    ) -> None:
        self._block = block
        self._tokens = tokens
        self._day = day

    def settle(self, used_tokens: int) -> None:
        """See :meth:`method.Reservation.settle`."""
        block, self._block = self._block, None
        if block is None:
            return
        block.running -= 1
        # Unused tokens of an earlier day's budget expire.
        if self._day == block.day:
            block.tokens += max(0, self._tokens - used_tokens)


@method.limit_method('owner_blocks')
class OwnerBlocks:
    """The blocks of this entry, and its own budget owner."""

    def __init__(self, context: method.Context) -> None:
        self._context = context
        self.owner = owner.BudgetOwner(context)
        self._blocks: dict[str, _Block] = {}
        self._suspected_until_s: dict[str, float] = {}

    async def reserve(
        self, organisation: str, tokens: int
    ) -> method.Reservation:
        """See :meth:`method.LimitMethod.reserve`."""
        row = self._context.limits(organisation)
        if row is None or not (
            row.requests_per_s or row.max_concurrent or row.tokens_per_day
        ):
            return _BlockReservation(None)
        block = self._blocks.setdefault(organisation, _Block())
        tokens = tokens if row.tokens_per_day else 0
        if not self._is_sufficient(block, row, tokens):
            await self._obtain_block(organisation, block, row, tokens)
        block.running += 1
        block.tokens -= tokens
        block.requests -= 1 if row.requests_per_s else 0
        block.last_used_s = self._context.clock()
        return _BlockReservation(block, tokens, block.day)

    async def run(self) -> None:
        """Renew slots, return unused blocks, release unowned chunks.

        Runs two tasks, so that a platform that does not answer does not delay
        the renewal of slots, which only needs the other entries.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_periodically(self._maintain_blocks))
            group.create_task(
                self._run_periodically(
                    lambda: self.owner.release_unowned(self.owner_of)
                )
            )

    async def _run_periodically(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            try:
                await work()
            except Exception:
                logging.exception('periodic work on limits failed')

    async def _maintain_blocks(self) -> None:
        self.owner.update_live_entries()
        # Concurrent, so that an owner that does not answer only delays the
        # organisations that it owns.
        await asyncio.gather(
            *(
                self._maintain_block(organisation, block)
                for organisation, block in self._blocks.items()
            )
        )

    async def close(self) -> None:
        """Return all unused blocks and release all chunks."""
        for organisation, block in self._blocks.items():
            self._return_unused(organisation, block)
        await self.owner.close()

    def owner_of(self, organisation: str) -> str:
        """Return the budget's owner according to this entry's live list."""
        return self._owners(organisation)[0]

    def free_tokens(self, organisation: str) -> int:
        """Return the unused tokens in this entry's block."""
        block = self._blocks.get(organisation)
        return block.tokens if block else 0

    def _owners(self, organisation: str) -> list[str]:
        now_s = self._context.clock()
        live = [
            node
            for node in self._context.peers.live()
            if self._suspected_until_s.get(node, 0.0) <= now_s
        ]
        return rendezvous.highest_ranked(
            f'budget/{organisation}',
            live or [self._context.peers.node],
            MAX_OWNER_ATTEMPTS,
        )

    def _is_sufficient(
        self, block: _Block, row: model.Organisation, tokens: int
    ) -> bool:
        now_s = self._context.clock()
        # Tokens of the previous day stay usable until their block expires, to
        # tolerate small clock differences between entries.
        if block.day != self._context.day() and now_s >= block.until_s:
            block.tokens = 0
        if row.tokens_per_day and block.tokens < tokens:
            return False
        if row.requests_per_s and (
            block.requests < 1 or now_s >= block.until_s
        ):
            return False
        return not row.max_concurrent or (
            block.running < block.slots and now_s < block.slots_until_s
        )

    async def _obtain_block(
        self,
        organisation: str,
        block: _Block,
        row: model.Organisation,
        tokens: int,
    ) -> None:
        block.waiting += 1
        block.wanted_tokens += tokens
        try:
            async with block.lock:
                if self._is_sufficient(block, row, tokens):
                    return
                self._raise_cached_refusal(block, tokens)
                # First for all waiting calls, then for this call alone.
                for wanted_tokens, calls in (
                    (block.wanted_tokens, block.waiting),
                    (tokens, 1),
                ):
                    try:
                        await self._refill(
                            organisation, block, row, wanted_tokens, calls
                        )
                        break
                    except errors.Refusal as exc:
                        if wanted_tokens <= tokens:
                            self._cache_refusal(block, exc, tokens)
                            raise
                if not self._is_sufficient(block, row, tokens):
                    # Also reached, with the same text, if the tokens or
                    # requests are insufficient or the grant has expired.
                    raise method.concurrency_exceeded(row.max_concurrent)
        finally:
            block.waiting -= 1
            block.wanted_tokens -= tokens

    async def _refill(
        self,
        organisation: str,
        block: _Block,
        row: model.Organisation,
        tokens: int,
        calls: int,
    ) -> None:
        requested_s = self._context.clock()
        has_requests = block.requests >= 1 and requested_s < block.until_s
        message = ttypes.BlockRequest(
            organisation,
            self._context.peers.node,
            calls if row.requests_per_s and not has_requests else 0,
            self._missing_tokens(block, tokens) if row.tokens_per_day else 0,
            block.running + calls if row.max_concurrent else 0,
        )
        grant = await self._request_grant(message)
        self._apply_grant(block, row, grant, requested_s)

    def _missing_tokens(self, block: _Block, tokens: int) -> int:
        # A grant for a new day replaces the tokens of the previous one.
        available = block.tokens if block.day == self._context.day() else 0
        return max(0, tokens - available)

    async def _request_grant(
        self, message: ttypes.BlockRequest
    ) -> ttypes.BlockGrant:
        for node in self._owners(message.organisation):
            try:
                if node == self._context.peers.node:
                    return await self.owner.grant(message)
                metrics.block_messages.labels('request').inc()
                return await self._context.peers.request_block(node, message)
            except method.OwnerUnreachable:
                self._suspected_until_s[node] = (
                    self._context.clock() + SUSPECT_DURATION_S
                )
        raise errors.Refusal(
            errors.ErrorKind.LIMIT_EXCEEDED,
            'no owner entry for the limits of the organisation answered',
            retry_after_s=1.0,
        )

    def _apply_grant(
        self,
        block: _Block,
        row: model.Organisation,
        grant: ttypes.BlockGrant,
        requested_s: float,
    ) -> None:
        # Counting from the request makes the block expire here before it
        # expires at the owner.
        until_s = requested_s + grant.valid_for_ms / 1000
        if grant.tokens:
            if grant.block_id != block.day:
                block.tokens = 0
                block.day = grant.block_id
            block.tokens += grant.tokens
        if grant.requests:
            block.requests = (
                block.requests if requested_s < block.until_s else 0
            ) + grant.requests
        if row.max_concurrent:
            block.slots = grant.concurrent
            block.slots_until_s = until_s
        if grant.tokens or grant.requests:
            block.until_s = until_s
        block.refused = None

    def _raise_cached_refusal(self, block: _Block, tokens: int) -> None:
        if (
            block.refused is not None
            and self._context.clock() < block.refused_until_s
            and tokens >= block.refused_tokens
        ):
            raise errors.Refusal(
                block.refused.kind,
                block.refused.message,
                block.refused.retry_after_s,
            )

    def _cache_refusal(
        self, block: _Block, exc: errors.Refusal, tokens: int
    ) -> None:
        block.refused = exc
        # A refusal for the rate, the concurrency or an owner that does not
        # answer applies to every call; all others apply only to calls that
        # need at least as many tokens.
        depends_on_tokens = exc.kind is not errors.ErrorKind.LIMIT_EXCEEDED
        block.refused_tokens = tokens if depends_on_tokens else 0
        block.refused_until_s = self._context.clock() + REFUSAL_CACHE_S

    async def _maintain_block(self, organisation: str, block: _Block) -> None:
        row = self._context.limits(organisation)
        if row is None:
            return
        now_s = self._context.clock()
        if now_s >= block.until_s and not block.waiting:
            self._return_unused(organisation, block)
        expires_soon = block.slots_until_s - now_s < SLOT_RENEWAL_MARGIN_S
        is_idle = (
            now_s - block.last_used_s > IDLE_SLOT_RELEASE_S
            and not block.running
        )
        if row.max_concurrent and (
            (block.running and expires_soon) or (block.slots and is_idle)
        ):
            with contextlib.suppress(errors.Refusal):
                await self._renew_slots(organisation, block, row)

    async def _renew_slots(
        self, organisation: str, block: _Block, row: model.Organisation
    ) -> None:
        async with block.lock:
            requested_s = self._context.clock()
            message = ttypes.BlockRequest(
                organisation, self._context.peers.node, 0, 0, block.running
            )
            # The request reports the running calls only: no further call may
            # start until the owner has answered.
            block.slots = min(block.slots, block.running)
            grant = await self._request_grant(message)
            self._apply_grant(block, row, grant, requested_s)

    def _return_unused(self, organisation: str, block: _Block) -> None:
        if not (block.requests or block.tokens):
            return
        message = ttypes.BlockReturn(
            organisation, block.day, block.requests, block.tokens
        )
        node = self.owner_of(organisation)
        if node == self._context.peers.node:
            self.owner.accept_return(message)
        elif self._context.peers.return_block(node, message):
            metrics.block_messages.labels('return').inc()
        else:
            return
        block.requests = 0
        block.tokens = 0
