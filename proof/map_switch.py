"""Specification of the rounds of ``experts/switch.py`` for the model checker.

A group switches from map 0 to map 1. Proposers 1, 2, ... have increasing
ballots: 1 is the leader that proposes the new map, the others recover the
round. Any proposer may act at any time, so a leader that resumes after a pause
or after its lease has expired is modelled as proposer 1 acting after the
others.

Messages are not consumed: once sent, a message can be delivered at any later
time, in any order, twice, or never. This covers loss, delay, reordering and
duplication. An agent restart loses the promise; the engine keeps its active
map and stays held or running. The command of an agent to its engine and the
effect of the command are one action here; see the note on commands that
outlive their agent in ``rank.py``.

Actions and the corresponding functions of the code:

- ``start``: ``switch.Round.run``, up to the sending of HoldRank
- ``hold``: ``rank.RankAcceptor.hold`` and its reply
- ``decide``: ``switch.choose_epoch`` on the replies of all ranks
- ``activate``: ``rank.RankAcceptor.activate`` and its reply
- ``all_active``: the check in ``switch.Round._release``
- ``release``: ``rank.RankAcceptor.release``
- ``restart``: a new ``rank.RankAcceptor`` in a new incarnation

There is no action for a step of the engines; the invariant checks in every
state that a step taken now would use one map.
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
    """Parameters of the model.

    A variant with *at_step*, or without one of the other two flags, is naive.

    :ivar ranks: number of ranks.
    :ivar proposers: number of proposers, the first being the leader.
    :ivar restarts: total number of agent restarts.
    :ivar use_ballots: whether a rank refuses lower ballots.
    :ivar check_incarnation: whether a rank refuses commands for another
        incarnation.
    :ivar at_step: whether ranks switch at an agreed step instead of being
        held.
    """

    ranks: int = 2
    proposers: int = 3
    restarts: int = 1
    use_ballots: bool = True
    check_incarnation: bool = True
    at_step: bool = False


# Fields of a rank: incarnation, promised ballot (0: none), held, epoch.
# Fields of a proposer: phase, and what it knows from the replies of the ranks.
IDLE, HOLDING, ACTIVATING, RELEASING = range(4)
Rank = tuple[int, int, bool, int]
# phase, target epoch, incarnations that commands name, ranks known to be at
# the target epoch
Proposer = tuple[int, int, tuple[int, ...], tuple[bool, ...]]
# ranks, proposers, hold replies (ballot, rank, incarnation, epoch), restarts
# that are left
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
    """Return whether a step would use one map; held ranks prevent a step."""
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

    def with_proposer(proposer: Proposer) -> State:
        changed = (*proposers[:number], proposer, *proposers[number + 1 :])
        return ranks, changed, replies, restarts

    if phase == IDLE:
        yield f'start {ballot}', with_proposer((HOLDING, target, (), done))
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
                with_proposer((ACTIVATING, wanted, named, at_target)),
            )
    elif phase == ACTIVATING and all(done):
        yield (
            f'all_active {ballot}',
            with_proposer((RELEASING, target, incarnations, done)),
        )


def _rank_actions(
    variant: Variant, state: State, number: int, index: int
) -> Iterator[tuple[str, State]]:
    ranks, proposers, replies, restarts = state
    phase, target, incarnations, done = proposers[number]
    incarnation, promised, held, epoch = ranks[index]
    ballot = number + 1

    def with_rank(rank: Rank) -> tuple[Rank, ...]:
        return (*ranks[:index], rank, *ranks[index + 1 :])

    if phase == IDLE:
        return
    if promised < ballot or not variant.use_ballots:
        new = with_rank((incarnation, ballot, True, epoch))
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
        new = with_rank((incarnation, promised, True, NEW))
        yield (
            f'activate {ballot} at {index}',
            (new, changed, replies, restarts),
        )
    if phase == RELEASING and held:
        new = with_rank((incarnation, promised, False, epoch))
        yield (
            f'release {ballot} at {index}',
            (new, proposers, replies, restarts),
        )


def _restarts(variant: Variant, state: State) -> Iterator[tuple[str, State]]:
    """Restart an agent.

    No agent restarts once the last proposer has started: without one round
    free of restarts, no protocol could release the group.
    """
    ranks, proposers, replies, restarts = state
    if not restarts or proposers[-1][0] != IDLE:
        return
    for index, (incarnation, _, held, epoch) in enumerate(ranks):
        rank = (incarnation + 1, 0, held, epoch)
        new = (*ranks[:index], rank, *ranks[index + 1 :])
        yield f'restart {index}', (new, proposers, replies, restarts - 1)


def _at_step_protocol(variant: Variant) -> minicheck.Protocol:
    """Return the naive protocol: a message to each rank to switch at step 1.

    The state is the step and, by rank, whether the message was delivered.
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
"""Variants of the implemented protocol that are explored exhaustively."""

LIVENESS = (
    Variant(ranks=2, proposers=3, restarts=1),
    Variant(ranks=3, proposers=2, restarts=1),
)
"""Variants whose release is checked from each reachable state."""

NAIVE = (
    Variant(at_step=True),
    Variant(proposers=2, restarts=0, use_ballots=False),
    Variant(check_incarnation=False),
)
"""Variants that the model checker must refute."""


def check(variant: Variant) -> dict:
    """Check the invariant 'one map in each step'."""
    return verdicts.check(protocol(variant), 'one map in each step')


if __name__ == '__main__':
    sys.exit(verdicts.report(check, CHECKED, NAIVE))
