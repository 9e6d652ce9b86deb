"""Rounds of the map switch, by the leader or by any agent of the group."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from absl import logging

from ..wire import codec
from ..wire.gen import ttypes
from . import ballot as ballots
from . import engine

COMMAND_TIMEOUT_S = 0.8
"""Below the silence limit, so that a slow rank does not start a resolver."""

ROUND_IDLE_LIMIT_S = 1.0
RELEASE_ATTEMPTS = 3
RECOVERY_POLL_S = 0.25
MAX_JITTER_S = 0.5
"""Spread of the moments at which agents start to resolve a round."""


class RoundFailed(Exception):
    """A round did not end with the release of all ranks.

    :ivar seen: the highest ballot that a rank reported.
    """

    def __init__(self, reason: str, seen: ttypes.Ballot) -> None:
        super().__init__(reason)
        self.seen = seen


class GroupLink(Protocol):
    """Orders to all ranks of one group, the own rank among them."""

    @property
    def ranks(self) -> Sequence[int]:
        """Return the numbers of all ranks of the group."""

    async def ask(
        self, rank: int, message: codec.Message, timeout_s: float
    ) -> ttypes.RankState | None:
        """Send an order; None if the rank did not answer in time."""


def choose_epoch(states: Sequence[ttypes.RankState], wanted_epoch: int) -> int:
    """Return the epoch for all ranks, given their states while held.

    A map that is in effect anywhere must come into effect everywhere, since
    an earlier round may have decided for it. *wanted_epoch* is 0 in a round
    that only resolves an earlier one.
    """
    return max(wanted_epoch, *(state.epoch for state in states))


@dataclasses.dataclass
class Round:
    """One round with one ballot.

    :ivar wanted_epoch: the map to switch to, 0 to resolve.
    """

    link: GroupLink
    group: str
    ballot: ttypes.Ballot
    wanted_epoch: int = 0

    async def run(self) -> int:
        """Hold, activate and release all ranks; return the epoch in effect.

        :raises RoundFailed: a rank did not follow. Ranks may be left held;
            a round with a higher ballot has to follow.
        """
        states = await self._all(
            lambda _: ttypes.HoldRank(
                self.group, self.ballot, self.wanted_epoch
            ),
            self.link.ranks,
        )
        epoch = choose_epoch(list(states.values()), self.wanted_epoch)
        behind = [
            rank for rank, state in states.items() if state.epoch != epoch
        ]
        if any(states[rank].staged_epoch < epoch for rank in behind):
            raise RoundFailed(f'map {epoch} is not staged', self.ballot)
        states |= await self._all(
            lambda rank: ttypes.ActivateMap(
                self.group, self.ballot, states[rank].incarnation, epoch
            ),
            behind,
        )
        await self._release(states, epoch)
        return epoch

    async def _release(
        self, states: dict[int, ttypes.RankState], epoch: int
    ) -> None:
        if any(
            state.epoch != epoch or not state.held for state in states.values()
        ):
            raise RoundFailed('a rank is not held on the map', self.ballot)
        for attempt in range(RELEASE_ATTEMPTS):
            try:
                await self._all(
                    lambda rank: ttypes.ReleaseRank(
                        self.group,
                        self.ballot,
                        states[rank].incarnation,
                        epoch,
                    ),
                    self.link.ranks,
                )
                return
            except RoundFailed:
                if attempt == RELEASE_ATTEMPTS - 1:
                    raise

    async def _all(
        self,
        message: Callable[[int], codec.Message],
        ranks: Sequence[int],
    ) -> dict[int, ttypes.RankState]:
        """Send an order to *ranks*; all must accept it."""
        answers = await asyncio.gather(
            *(
                self.link.ask(rank, message(rank), COMMAND_TIMEOUT_S)
                for rank in ranks
            )
        )
        seen = max(
            (item.promised for item in answers if item is not None),
            key=ballots.order,
            default=self.ballot,
        )
        for rank, answer in zip(ranks, answers, strict=True):
            if answer is None:
                raise RoundFailed(f'rank {rank} does not answer', seen)
            if not answer.accepted:
                raise RoundFailed(f'rank {rank}: {answer.kind}', seen)
        return dict(zip(ranks, answers, strict=True))


class RoundRunner:
    """Runs rounds of one agent, one at a time, with rising ballots."""

    def __init__(self, link: GroupLink, group: str, node: str) -> None:
        self._link = link
        self._group = group
        self._node = node
        self._lock = asyncio.Lock()
        self._seen = ballots.NO_BALLOT

    async def run(
        self, promised: ttypes.Ballot, fencing: int, wanted_epoch: int
    ) -> int:
        """Run one round above all ballots known; see :meth:`Round.run`."""
        async with self._lock:
            seen = max(self._seen, promised, key=ballots.order)
            ballot = ballots.next_after(seen, fencing, self._node)
            self._seen = ballot
            try:
                return await Round(
                    self._link, self._group, ballot, wanted_epoch
                ).run()
            except RoundFailed as exc:
                self._seen = max(self._seen, exc.seen, key=ballots.order)
                logging.warning(
                    'round %d.%d of %s failed: %s',
                    ballot.fencing,
                    ballot.attempt,
                    self._group,
                    exc,
                )
                raise


class RankStatus(Protocol):
    """What the resolver needs of the own rank."""

    def idle_s(self) -> float:
        """Return the time since an order was last accepted."""

    async def state(self) -> ttypes.RankState:
        """Return the state of the rank; raises EngineCommandError."""


async def recover_abandoned_rounds(
    rank: RankStatus,
    runner: RoundRunner,
    connected: Callable[[], contextlib.AbstractAsyncContextManager[None]],
) -> None:
    """Resolve rounds whose proposer has gone silent, for ever.

    It needs no platform. *connected* opens the connections to the group.
    """
    stagger_s = random.uniform(0.0, MAX_JITTER_S)
    while True:
        await asyncio.sleep(RECOVERY_POLL_S)
        if rank.idle_s() < ROUND_IDLE_LIMIT_S + stagger_s:
            continue
        stagger_s = random.uniform(0.0, MAX_JITTER_S)
        try:
            state = await rank.state()
            if not state.held:
                continue
            async with connected():
                epoch = await runner.run(state.promised, 0, 0)
            logging.warning('silent round resolved on map %d', epoch)
        except (RoundFailed, engine.EngineCommandError) as exc:
            logging.warning('silent round not resolved yet: %s', exc)
            # Competing resolvers get a chance one after the other.
            await asyncio.sleep(random.uniform(0.0, MAX_JITTER_S))
