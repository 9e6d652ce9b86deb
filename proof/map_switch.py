"""Specification of the expert map switch for the model checker.

A group switches from map 0 to map 1. Proposers 1, 2, ... have ballots in this
order: 1 is the leader that wants the new map, the others resolve the round.
Any proposer may act at any time, however late, so a leader that is paused and
wakes, or one with an expired lease, is proposer 1 acting after the others.

Messages are not consumed: one that was sent can be delivered at any later
moment, in any order, twice, or never. This covers loss, delay, reordering and
duplication. An agent restart loses the promise; its engine keeps the map in
effect and stays held or running. The order of an agent to its engine and its
effect are one action here; see the note on late orders in ``rank.py``.

Actions and the functions of the code:

- ``start``: ``switch.Round.run``, up to the sending of HoldRank
- ``hold``: ``rank.RankAcceptor.hold`` and its reply
- ``decide``: ``switch.choose_epoch`` on the replies of all ranks
- ``activate``: ``rank.RankAcceptor.activate`` and its reply
- ``all_active``: the check in ``switch.Round._release``
- ``release``: ``rank.RankAcceptor.release``
- ``restart``: a new ``rank.RankAcceptor`` in a new incarnation
- ``step``: the engines of the group, in lock-step
"""

from __future__ import annotations

import dataclasses
import itertools
import sys
from collections.abc import Iterator

import minicheck

from . import verdicts

OLD, NEW = 0, 1


@dataclasses.dataclass(frozen=True)
class Variant:
    """What is checked; the flags that are off give the naive variants.

    :ivar proposers: ballots, the first of the leader.
    :ivar restarts: agent restarts in total.
    :ivar use_ballots: whether a rank refuses lower ballots.
    :ivar check_incarnation: whether a rank refuses orders that name another
        incarnation.
    :ivar at_step: switch at an agreed step instead of holding the ranks.
    """

    ranks: int = 2
    proposers: int = 3
    restarts: int = 1
    use_ballots: bool = True
    check_incarnation: bool = True
    at_step: bool = False


# Fields of a rank: incarnation, promised ballot (0: none), held, epoch.
# Fields of a proposer: phase, and what it learned from the rank replies.
IDLE, HOLDING, ACTIVATING, RELEASING = range(4)
Rank = tuple[int, int, bool, int]
# phase, target, incarnations named in orders, ranks known to be at the target
Proposer = tuple[int, int, tuple[int, ...], tuple[bool, ...]]
# hold replies by proposer and rank: set of (incarnation, epoch)
State = tuple[tuple[Rank, ...], tuple[Proposer, ...], frozenset, int]


def protocol(variant: Variant) -> minicheck.Protocol:
    """Return the specification of a variant."""
    if variant.at_step:
        return _at_step_protocol(variant)
    ranks = ((0, 0, False, OLD),) * variant.ranks
    idle = (IDLE, OLD, (), (False,) * variant.ranks)
    proposers = (idle,) * variant.proposers
    return minicheck.Protocol(
        name='map switch',
        candidate=False,
        fields=('ranks', 'proposers', 'replies', 'restarts'),
        initial=(ranks, proposers, frozenset(), variant.restarts),
        transitions=lambda state: list(_transitions(variant, state)),
        invariants={'one map in each step': _one_map},
        goal=_all_running,
    )


def _one_map(state: dict) -> bool:
    """Return whether a step now would use one map; held ranks bar a step."""
    ranks = state['ranks']
    return any(rank[2] for rank in ranks) or len({r[3] for r in ranks}) == 1


def _all_running(state: dict) -> bool:
    return not any(rank[2] for rank in state['ranks'])


def _transitions(
    variant: Variant, state: State
) -> Iterator[tuple[str, State]]:
    for number in range(variant.proposers):
        yield from _proposer_actions(variant, state, number)
        for index in range(variant.ranks):
            yield from _rank_actions(variant, state, number, index)
    yield from _restarts(variant, state)


def _proposer_actions(
    variant: Variant, state: State, number: int
) -> Iterator[tuple[str, State]]:
    ranks, proposers, replies, restarts = state
    phase, target, incarnations, done = proposers[number]
    ballot = number + 1

    def become(proposer: Proposer) -> State:
        changed = (*proposers[:number], proposer, *proposers[number + 1 :])
        return ranks, changed, replies, restarts

    if phase == IDLE:
        yield f'start {ballot}', become((HOLDING, target, (), done))
    elif phase == HOLDING:
        by_rank = [
            [item[2:] for item in replies if item[:2] == (ballot, index)]
            for index in range(variant.ranks)
        ]
        for answers in itertools.product(*by_rank):
            epochs = [epoch for _, epoch in answers]
            wanted = NEW if ballot == 1 or NEW in epochs else OLD
            named = tuple(incarnation for incarnation, _ in answers)
            at_target = tuple(epoch == wanted for epoch in epochs)
            yield (
                f'decide {ballot}',
                become((ACTIVATING, wanted, named, at_target)),
            )
    elif phase == ACTIVATING and all(done):
        yield (
            f'all_active {ballot}',
            become((RELEASING, target, incarnations, done)),
        )


def _rank_actions(
    variant: Variant, state: State, number: int, index: int
) -> Iterator[tuple[str, State]]:
    ranks, proposers, replies, restarts = state
    phase, target, incarnations, done = proposers[number]
    incarnation, promised, held, epoch = ranks[index]
    ballot = number + 1

    def become(rank: Rank) -> tuple[Rank, ...]:
        return (*ranks[:index], rank, *ranks[index + 1 :])

    if phase == IDLE:
        return
    if promised < ballot or not variant.use_ballots:
        new = become((incarnation, ballot, True, epoch))
        reply = (ballot, index, incarnation, epoch)
        yield (
            f'hold {ballot} at {index}',
            (new, proposers, replies | {reply}, restarts),
        )
    if phase == HOLDING:
        return
    if variant.use_ballots and promised != ballot:
        return
    if variant.check_incarnation and incarnations[index] != incarnation:
        return
    if target == NEW and held and not (epoch == NEW and done[index]):
        known = (*done[:index], True, *done[index + 1 :])
        proposer = (phase, target, incarnations, known)
        changed = (*proposers[:number], proposer, *proposers[number + 1 :])
        new = become((incarnation, promised, True, NEW))
        yield (
            f'activate {ballot} at {index}',
            (new, changed, replies, restarts),
        )
    if phase == RELEASING and held:
        new = become((incarnation, promised, False, epoch))
        yield (
            f'release {ballot} at {index}',
            (new, proposers, replies, restarts),
        )


def _restarts(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Restart an agent.

    The last proposer stands for a round in which no agent restarts: without
    one no protocol could release the group.
    """
    ranks, proposers, replies, restarts = state
    if not restarts or proposers[-1][0] != IDLE:
        return
    for index, (incarnation, _, held, epoch) in enumerate(ranks):
        rank = (incarnation + 1, 0, held, epoch)
        new = (*ranks[:index], rank, *ranks[index + 1 :])
        yield f'restart {index}', (new, proposers, replies, restarts - 1)


def _at_step_protocol(variant: Variant) -> minicheck.Protocol:
    """Return the naive protocol: each rank is told to switch at step 1.

    The state is the step and, by rank, whether the message has arrived.
    """

    def transitions(state: tuple) -> list[tuple[str, tuple]]:
        step, informed = state
        moves = [
            (
                f'deliver to {index}',
                (step, (*informed[:index], True, *informed[index + 1 :])),
            )
            for index in range(variant.ranks)
        ]
        return [*moves, ('step', (min(step + 1, 2), informed))]

    def one_map(state: dict) -> bool:
        return state['step'] < 1 or len(set(state['informed'])) == 1

    return minicheck.Protocol(
        name='switch at a step',
        candidate=False,
        fields=('step', 'informed'),
        initial=(0, (False,) * variant.ranks),
        transitions=transitions,
        invariants={'one map in each step': one_map},
    )


CHECKED = (
    Variant(ranks=2, proposers=3, restarts=2),
    Variant(ranks=3, proposers=2, restarts=2),
    Variant(ranks=3, proposers=3, restarts=0),
)
"""The variants of the real protocol that are explored exhaustively."""

LIVE = (
    Variant(ranks=2, proposers=3, restarts=1),
    Variant(ranks=3, proposers=2, restarts=1),
)
"""The variants for which release is checked from each reachable state."""

NAIVE = (
    Variant(at_step=True),
    Variant(proposers=2, restarts=0, use_ballots=False),
    Variant(check_incarnation=False),
)
"""Variants that the checker must refute."""


def check(variant: Variant) -> dict:
    """Return the verdict on 'one map in each step'."""
    return verdicts.check(protocol(variant), 'one map in each step')


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
