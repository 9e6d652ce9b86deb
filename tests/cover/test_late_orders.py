"""Orders of a map switch that engines execute after newer ones."""

from __future__ import annotations

import asyncio
import random

import pytest

from standins import live_group, memory_platform
from tests.live_ranks import report, status
from wagtailhollow.internal.datagram import messages
from wagtailhollow.internal.experts.live import (
    holds,
    lookahead,
    model,
    rank,
    statuses,
)

RANKS = 4
LATE_S = 2.0
"""Least time after which an order without an answer is executed."""

QUIET_S = 3.0
"""The group runs this long before the trouble."""

SLOW_PASS_S = 1.0
"""With it, an order that is late may still name a step that has not begun."""

MAX_PAUSE_S = 2.0
"""Callers abandon a stream after a pause of 2 s."""


def run_group(trouble, seed=1):
    """Run a group under *trouble* and for 5 s without any; return it."""
    group = live_group.Group(RANKS, seed)

    async def work():
        for agent in group.agents:
            agent.start()
        passes = asyncio.create_task(group.run_passes())
        await asyncio.sleep(QUIET_S)
        await trouble(group)
        group.order_delay_s = group.random_order_delay_s
        group.pass_s = live_group.PASS_S
        group.is_idle = False
        group.versions_before = len(group.versions)
        await asyncio.sleep(5)
        for agent in group.agents:
            agent.kill()
        passes.cancel()
        await asyncio.gather(passes, return_exceptions=True)

    memory_platform.run_in_virtual_time(work)
    return group


def assert_switches_go_on(group):
    assert not group.mixed_steps
    assert len(group.versions) >= group.versions_before + 5


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.001)


@pytest.mark.parametrize('silent_s', [0.08, 0.15, 0.3])
def test_late_release_does_not_end_the_hold_of_the_same_coordinator(silent_s):
    """Guards against passes with two maps after a rank took over from itself.

    The coordinator's own engine does not answer the release and then misses a
    report. The release is executed while the coordinator undoes the switch.
    """

    async def trouble(group):
        unanswered = []

        def delay_s(number, name):
            is_armed = all(e.armed for e in group.engines)
            if number == 0 and (
                unanswered or (name == 'release' and is_armed)
            ):
                unanswered.append(name)
                return LATE_S
            return None

        group.order_delay_s = delay_s
        await wait_until(lambda: unanswered)
        group.engines[0].is_silent = True
        await asyncio.sleep(silent_s)
        group.engines[0].is_silent = False
        await asyncio.sleep(LATE_S)
        group.order_delay_s = group.random_order_delay_s
        await asyncio.sleep(LATE_S)

    group = run_group(trouble)
    assert len(group.terms) > 1, 'no rank has taken over'
    assert_switches_go_on(group)


def test_late_hold_of_a_former_coordinator_does_not_stop_the_group():
    """Guards against a hold that nobody releases when its step was given up.

    It is executed at the rank of a killed coordinator, when the next one has
    released a later step.
    """

    async def trouble(group):
        delayed = []

        def delay_s(number, name):
            if name == 'hold' and not delayed:
                delayed.append(group.engines[number])
                return LATE_S
            return None

        group.pass_s = SLOW_PASS_S
        await asyncio.sleep(2 * group.pass_s)
        step = group.step
        await wait_until(lambda: group.step > step)
        group.order_delay_s = delay_s
        await wait_until(lambda: delayed)
        await wait_until(lambda: delayed[0].held_step is not None)
        group.agents[0].kill()
        await asyncio.sleep(LATE_S + 1.0)
        group.agents[0].start()

    assert_switches_go_on(run_group(trouble))


@pytest.mark.parametrize('is_idle', [False, True])
@pytest.mark.parametrize('unanswered_s', [0.5, 1.0, 1.6])
def test_late_holds_of_a_switch_given_up_do_not_stop_the_group(
    unanswered_s, is_idle
):
    """Guards against a hold that nobody releases when its step was given up.

    No order to hold is answered for some time. They are executed while the
    next map is copied, or when the next switch has been released, also if the
    group has become idle meanwhile.
    """

    async def trouble(group):
        delayed = []

        def delay_s(number, name):
            if name == 'hold':
                delayed.append(number)
                return LATE_S
            return None

        group.pass_s = SLOW_PASS_S
        group.order_delay_s = delay_s
        await wait_until(lambda: delayed)
        await asyncio.sleep(unanswered_s)
        group.order_delay_s = group.random_order_delay_s
        await asyncio.sleep(LATE_S - unanswered_s)
        group.is_idle = is_idle
        await asyncio.sleep(LATE_S)

    group = run_group(trouble)
    assert_switches_go_on(group)
    assert group.longest_pause_s < MAX_PAUSE_S


async def random_trouble(group):
    """Make orders late, engines slow, silent or idle, and agents fail."""
    rng = group.rng
    loop = asyncio.get_running_loop()
    group.faults = live_group.Faults(unanswered=0.2, lost=0.02)
    end_s = loop.time() + 30.0
    while loop.time() < end_s:
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        number = rng.randrange(RANKS)
        agent, engine = group.agents[number], group.engines[number]
        match rng.randrange(5):
            case 0:
                group.pass_s = live_group.PASS_S * rng.choice([1, 12, 20])
            case 1:
                group.is_idle = not group.is_idle
            case 2:
                engine.is_silent = True
                loop.call_later(rng.uniform(0.05, 1.5), unmute, engine)
            case 3:
                agent.kill()
                await asyncio.sleep(rng.uniform(0.0, 2.0))
                agent.start()
            case 4:
                agent.is_frozen = True
                await asyncio.sleep(rng.uniform(0.1, 3.0))
                agent.is_frozen = False
    group.faults = live_group.Faults()
    group.is_idle = False
    group.pass_s = live_group.PASS_S
    # Orders are late by as much as this, and one more by an own time-out.
    await asyncio.sleep(live_group.LATE_ORDER_DELAY_S[1] + 1.0)


def unmute(engine):
    engine.is_silent = False


@pytest.mark.parametrize('seed', [0, 1, 8])
def test_group_switches_again_after_random_trouble(seed):
    """Guards against late orders that mix maps or stop the group for good."""
    assert_switches_go_on(run_group(random_trouble, seed))


@pytest.mark.parametrize(
    ('phase', 'step', 'holder', 'obsolete'),
    [
        (model.Phase.IDLE, messages.UNSET, messages.UNSET, []),
        (model.Phase.IDLE, 14, messages.UNSET, [13, 14]),
        (model.Phase.PREPARE, 14, messages.UNSET, [13, 14]),
        (model.Phase.HOLD, 14, 0, [13, 15]),
        (model.Phase.HOLD, 14, 1, [13]),
        (model.Phase.ARM, 14, messages.UNSET, [13]),
        (model.Phase.ABORT, 14, messages.UNSET, [13]),
        (model.Phase.ABORT, messages.UNSET, messages.UNSET, []),
        (model.Phase.RELEASE, 14, 0, [13, 14]),
        (model.Phase.RELEASE, 14, 1, [13]),
        (model.Phase.RELEASE, 14, messages.UNSET, [13, 14]),
    ],
)
def test_rank_releases_only_obsolete_holds(phase, step, holder, obsolete):
    """Guards against a hold that nobody releases, and one released too soon.

    The hold of the present switch, and any of a later coordinator, stays.
    """
    intent = messages.Intent(
        group='g', epoch=1, phase=int(phase), step=step, holder=holder
    )
    assert [
        held
        for held in (13, 14, 15)
        if holds.is_obsolete(intent, report(held_step=held))
    ] == obsolete
    assert not holds.is_obsolete(intent, report())


def test_steps_are_used_once():
    """Guards against a hold that a late release of the same step ends."""
    steps = holds.HeldSteps(
        [
            status(0, step=100, map_version=3),
            status(1, step=98, prepared=4),
        ]
    )
    last_of_others = 100 + lookahead.MAX_LOOKAHEAD_STEPS
    assert not steps.has_free_step(100), 'a late order may name any step'
    assert steps.has_free_step(101)
    first = steps.use_step(101, 3)
    assert first > last_of_others
    assert steps.use_step(first - 1, 3) == first + 2
    assert steps.use_step(first - 1, 3) == first + 3


def test_first_switch_of_an_epoch_uses_a_near_step():
    """Guards against a first map 1.1 s later whenever a group is formed.

    A rank that has prepared no map shows that no step was held before.
    """
    steps = holds.HeldSteps(
        [
            status(0, step=581, map_version=0, prepared=7),
            status(1, step=581, map_version=0),
        ]
    )
    assert steps.has_free_step(581)
    assert steps.use_step(581, 3) == 584


def test_group_that_stays_idle_is_not_switched_for_ever():
    """Guards against orders that name steps far ahead.

    Another coordinator cannot know them and would use them again.
    """
    steps = holds.HeldSteps([status(0, step=0, map_version=3)])
    used = []
    while steps.has_free_step(40):
        used.append(steps.use_step(40, 3))
    assert max(used) == 40 + lookahead.MAX_LOOKAHEAD_STEPS


def test_obsolete_hold_is_no_reason_to_undo_a_switch():
    """Guards against copies in vain after an order that came late."""
    steps = holds.HeldSteps([status(0, step=100)])
    assert steps.is_unresolved([status(0)]), 'another may have begun a switch'
    steps.settle()
    last = steps.obsolete_step
    assert not steps.is_unresolved([status(0, held_step=last)])
    assert steps.is_unresolved([status(0, held_step=last + 1)])
    assert steps.is_unresolved(
        [status(0, held_step=last, armed_version=7, armed_step=last)]
    )
    steps.reopen()
    assert steps.is_unresolved([status(0)])


@pytest.mark.parametrize(
    ('rows', 'step'),
    [
        ({}, None),
        ({0: {'held_step': 14}}, 14),
        ({0: {'held_step': 14}, 2: {'held_step': 12}}, 14),
        (
            {
                0: {'held_step': 12},
                1: {'armed_version': 7, 'armed_step': 14},
            },
            14,
        ),
        ({1: {'armed_version': 7, 'armed_step': 10}}, None),
    ],
)
def test_step_to_undo_is_that_of_the_last_switch(rows, step):
    """Guards against a hold at a step that is not the armed one.

    Late orders hold steps of earlier switches.
    """
    found = [status(number, **fields) for number, fields in rows.items()]
    assert holds.step_to_undo(found, 10) == step


@pytest.mark.parametrize(
    ('held', 'heard', 'expected'),
    [
        ({}, {0, 1, 2, 3}, {1, 2, 3}),
        ({2: 14}, {0, 1}, {2}),
        ({1: 12}, {0, 1, 3}, {3}),
        ({1: 12, 2: 12, 3: 12}, {0, 1, 2, 3}, {None}),
        ({}, {0}, {1, 2, 3}),
    ],
)
def test_second_hold_is_at_another_rank_that_can_hold(held, heard, expected):
    """Guards against a second hold that engines refuse or nobody confirms."""
    found = {
        number: status(number, held_step=held.get(number, messages.UNSET))
        for number in range(RANKS)
    }
    rng = random.Random(1)
    assert {
        holds.choose_second_holder(found, heard, 0, 14, rng) for _ in range(50)
    } == expected


def test_version_of_an_earlier_epoch_is_not_undone():
    """Guards against a map sent in vain whenever the group is formed again.

    The version cannot be armed any more, and it is not used again either.
    """

    class Engine:
        epoch = 1

        async def report(self):
            return report(epoch=self.epoch)

        async def maps(self):
            preparing = 900 if self.epoch == 1 else None
            return model.RankMaps(self.epoch, 3, [[0]], preparing)

    engine = Engine()
    controller = rank.RankController(engine)
    asyncio.run(controller.reconcile())
    assert statuses.may_be_armed(controller.status())
    engine.epoch = 2
    asyncio.run(controller.reconcile())
    after = controller.status()
    assert not statuses.may_be_armed(after)
    assert after.refused_version == 900, 'a later version has to be higher'
