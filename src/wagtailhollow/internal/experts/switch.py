"""Rounds of the map switch.

The leader runs a round to switch to a new map. Any agent of the group runs one
to recover from a round whose proposer has stopped.
"""

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
"""Below ROUND_IDLE_LIMIT_S, so that a slow rank does not trigger recovery."""

ROUND_IDLE_LIMIT_S = 1.0
"""Recovery starts on a held rank that got no command for this long."""

RELEASE_ATTEMPTS = 3
RECOVERY_POLL_S = 0.25
MAX_JITTER_S = 0.5
"""Upper bound of the random delay before an agent recovers a round. The delay
makes it unlikely that two agents recover one round at the same time, in which
case the higher ballot makes the round of the lower one fail."""


class RoundFailed(Exception):
    """A round ended before all ranks were released.

    :ivar highest_ballot: the highest ballot that a rank reported.
    """

    def __init__(self, reason: str, highest_ballot: ttypes.Ballot) -> None:
        super().__init__(reason)
        self.highest_ballot = highest_ballot


class GroupTransport(Protocol):
    """Sends commands to all ranks of one group, including the local rank."""

    @property
    def ranks(self) -> Sequence[int]:
        """Return the numbers of all ranks of the group."""

    async def request(
        self, rank: int, message: codec.Message, timeout_s: float
    ) -> ttypes.RankState | None:
        """Send a command; None if the rank did not answer in time."""


def choose_epoch(
    states: Sequence[ttypes.RankState], proposed_epoch: int
) -> int:
    """Return the epoch to activate on all ranks from their held states.

    A map that is active on any rank must be activated on all of them, since
    an earlier round may have chosen it. *proposed_epoch* is 0 in a round that
    only recovers from an earlier one.
    """
    return max(proposed_epoch, *(state.epoch for state in states))


@dataclasses.dataclass
class Round:
    """One round of the switch under one ballot.

    :ivar proposed_epoch: the map to switch to, 0 to recover only.
    """

    transport: GroupTransport
    group: str
    ballot: ttypes.Ballot
    proposed_epoch: int = 0

    async def run(self) -> int:
        """Hold, activate and release all ranks; return the active epoch.

        :raises RoundFailed: a rank did not accept a command. Ranks may be
            left held until a round with a higher ballot completes.
        """
        states = await self._broadcast(
            lambda _: ttypes.HoldRank(
                self.group, self.ballot, self.proposed_epoch
            ),
            self.transport.ranks,
        )
        epoch = choose_epoch(list(states.values()), self.proposed_epoch)
        outdated = [
            rank for rank, state in states.items() if state.epoch != epoch
        ]
        if any(states[rank].staged_epoch < epoch for rank in outdated):
            raise RoundFailed(
                f'map {epoch} is not staged on every rank', self.ballot
            )
        states |= await self._broadcast(
            lambda rank: ttypes.ActivateMap(
                self.group, self.ballot, states[rank].incarnation, epoch
            ),
            outdated,
        )
        await self._release(states, epoch)
        return epoch

    async def _release(
        self, states: dict[int, ttypes.RankState], epoch: int
    ) -> None:
        if any(
            state.epoch != epoch or not state.held for state in states.values()
        ):
            raise RoundFailed(
                'a rank is not held on the chosen map', self.ballot
            )
        for attempt in range(RELEASE_ATTEMPTS):
            try:
                await self._broadcast(
                    lambda rank: ttypes.ReleaseRank(
                        self.group,
                        self.ballot,
                        states[rank].incarnation,
                        epoch,
                    ),
                    self.transport.ranks,
                )
                return
            except RoundFailed:
                if attempt == RELEASE_ATTEMPTS - 1:
                    raise

    async def _broadcast(
        self,
        message: Callable[[int], codec.Message],
        ranks: Sequence[int],
    ) -> dict[int, ttypes.RankState]:
        """Send a command to *ranks*; all of them must accept it."""
        answers = await asyncio.gather(
            *(
                self.transport.request(rank, message(rank), COMMAND_TIMEOUT_S)
                for rank in ranks
            )
        )
        highest = max(
            (item.promised for item in answers if item is not None),
            key=ballots.sort_key,
            default=self.ballot,
        )
        for rank, answer in zip(ranks, answers, strict=True):
            if answer is None:
                raise RoundFailed(f'rank {rank} did not answer', highest)
            if not answer.accepted:
                raise RoundFailed(
                    f'rank {rank} did not accept: {answer.kind}', highest
                )
        return dict(zip(ranks, answers, strict=True))


class RoundRunner:
    """Runs the rounds of one agent, one at a time, with increasing ballots."""

    def __init__(
        self, transport: GroupTransport, group: str, node: str
    ) -> None:
        self._transport = transport
        self._group = group
        self._node = node
        self._lock = asyncio.Lock()
        self._highest_ballot = ballots.NO_BALLOT

    async def run(
        self, lower_bound: ttypes.Ballot, fencing: int, proposed_epoch: int
    ) -> int:
        """Run one round above all known ballots; see :meth:`Round.run`.

        :param lower_bound: the ballot of the round is above this one.
        """
        async with self._lock:
            highest = max(
                self._highest_ballot, lower_bound, key=ballots.sort_key
            )
            ballot = ballots.next_after(highest, fencing, self._node)
            self._highest_ballot = ballot
            try:
                return await Round(
                    self._transport, self._group, ballot, proposed_epoch
                ).run()
            except RoundFailed as exc:
                self._highest_ballot = max(
                    self._highest_ballot,
                    exc.highest_ballot,
                    key=ballots.sort_key,
                )
                logging.warning(
                    'round %d.%d of %s failed: %s',
                    ballot.fencing,
                    ballot.attempt,
                    self._group,
                    exc,
                )
                raise


class LocalRank(Protocol):
    """The local rank as the recovery of rounds sees it."""

    def idle_s(self) -> float:
        """Return the time since a command was last accepted."""

    async def state(self) -> ttypes.RankState:
        """Return the state of the rank; raises EngineCommandError."""


async def recover_abandoned_rounds(
    rank: LocalRank,
    runner: RoundRunner,
    connected: Callable[[], contextlib.AbstractAsyncContextManager[None]],
) -> None:
    """Complete rounds whose proposer has stopped; runs until cancelled.

    Needs no access to the platform, so that a group recovers its rounds
    while the platform is down.

    :param connected: opens the connections to the group.
    """
    jitter_s = random.uniform(0.0, MAX_JITTER_S)
    while True:
        await asyncio.sleep(RECOVERY_POLL_S)
        if rank.idle_s() < ROUND_IDLE_LIMIT_S + jitter_s:
            continue
        jitter_s = random.uniform(0.0, MAX_JITTER_S)
        try:
            state = await rank.state()
            if not state.held:
                continue
            async with connected():
                epoch = await runner.run(state.promised, 0, 0)
            logging.warning('abandoned round completed on map %d', epoch)
        except (RoundFailed, engine.EngineCommandError) as exc:
            logging.warning('abandoned round not completed yet: %s', exc)
            # Spreads the retries of agents that recover the same round.
            await asyncio.sleep(random.uniform(0.0, MAX_JITTER_S))
