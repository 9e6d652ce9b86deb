"""Limit methods: overspending, settlement, refusals and failures."""

from __future__ import annotations

import asyncio
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from standins import memory_platform
from wagtailhollow import errors
from wagtailhollow.internal.limits import method
from wagtailhollow.internal.table import model
from wagtailhollow.internal.wire.gen import ttypes

NAMES = ('entry-a', 'entry-b', 'entry-c')


def network(row, method_name='owner_blocks', **store):
    return memory_platform.Network(
        memory_platform.MemoryStore(**store),
        {'council': row},
        NAMES,
        method_name,
    )


async def spend(net, count, tokens, used=None, seed=0):
    """Make *count* calls at random live entries; return the tokens used."""
    rng = random.Random(seed)
    total = 0
    for _ in range(count):
        alive = [name for name in NAMES if name not in net.dead]
        got = await memory_platform.try_reserve(
            net.entries[rng.choice(alive)], 'council', tokens
        )
        if not isinstance(got, errors.Refusal):
            got.settle(tokens if used is None else used)
            total += tokens if used is None else used
    return total


@settings(max_examples=60, deadline=None)
@given(
    faults=st.lists(
        st.sampled_from(
            ['lose', 'repeat', 'down', 'up', 'kill', 'restart', 'split',
             'join', 'wait']
        ),
        max_size=14,
    ),
    seed=st.integers(0, 99),
)  # fmt: skip
def test_budget_is_never_overspent_under_failures(faults, seed):
    """Guards against crediting chunks, blocks and lost writes twice."""

    async def scenario():
        net = network(
            model.Organisation(tokens_per_day=2_000),
            delay_s=(0.0, 0.01),
            seed=seed,
        )
        net.start()
        rng = random.Random(seed)
        total = 0
        for number, fault in enumerate([*faults, 'up']):
            name = rng.choice(NAMES)
            net.store.repeat_lost_writes = fault == 'repeat'
            net.store.lose_answers = 2 * (fault in ('lose', 'repeat'))
            net.store.is_down = fault == 'down'
            if fault == 'kill' and len(net.dead) < 2:
                net.dead.add(name)
            elif fault == 'restart':
                net.restart(name)
            elif fault == 'split':
                net.believed_down.update((name, other) for other in NAMES)
            elif fault == 'join':
                net.believed_down.clear()
            total += sum(
                await asyncio.gather(
                    *(
                        spend(net, 8, 30, rng.randint(1, 30), seed=number + k)
                        for k in range(3)
                    )
                )
            )
            await asyncio.sleep(3.0 * (fault == 'wait'))
            for entry in list(net.entries.values()):
                await entry.owner.release_unowned(entry.owner_of)
        return total

    assert memory_platform.run_in_virtual_time(scenario) <= 2_000


@pytest.mark.parametrize('method_name', sorted(method.METHODS))
def test_concurrent_calls_overspend_only_with_the_shared_counter(
    method_name,
):
    """Guards against a check and a reservation that are not atomic."""

    async def scenario():
        net = network(
            model.Organisation(tokens_per_day=900),
            method_name,
            delay_s=(0.001, 0.003),
        )
        net.start()
        results = await asyncio.gather(
            *(
                memory_platform.try_reserve(net.entries[name], 'council', 100)
                for name in NAMES * 8
            )
        )
        return sum(not isinstance(item, errors.Refusal) for item in results)

    admitted = memory_platform.run_in_virtual_time(scenario)
    assert (admitted <= 9) == (method_name != 'shared_counter')


def test_nearly_the_whole_budget_can_be_used_from_all_entries():
    """Guards against tokens that stay unused in chunks and blocks."""

    async def scenario():
        net = network(model.Organisation(tokens_per_day=100_000))
        net.start()
        maintenance = [
            asyncio.create_task(item.run()) for item in net.entries.values()
        ]
        total = 0
        for seed in range(8):
            total += await spend(net, 400, 60, 40, seed)
            await asyncio.sleep(6.0)
        for task in maintenance:
            task.cancel()
        return total

    assert 98_000 <= memory_platform.run_in_virtual_time(scenario) <= 100_000


def test_unused_tokens_of_a_call_are_available_to_other_calls():
    """Guards against charging the reserved maximum of each call."""

    async def scenario():
        net = network(model.Organisation(tokens_per_day=1_000))
        net.start()
        return await spend(net, 60, 100, 10)

    assert memory_platform.run_in_virtual_time(scenario) >= 500


def test_outage_is_refused_as_platform_unavailable_after_the_chunk():
    """Guards against failing open and against a wrong error kind."""

    async def scenario():
        net = network(model.Organisation(tokens_per_day=100_000))
        net.start()
        first = await spend(net, 5, 100)
        net.store.is_down = True
        during = await spend(net, 50, 100)
        refused = await memory_platform.try_reserve(
            net.entries['entry-a'], 'council', 100
        )
        net.store.is_down = False
        await asyncio.sleep(1.0)
        after = await spend(net, 5, 100)
        return first, during, refused.kind, after

    first, during, kind, after = memory_platform.run_in_virtual_time(scenario)
    assert (first, after) == (500, 500)
    assert during <= 1_000
    assert kind is errors.ErrorKind.PLATFORM_UNAVAILABLE


def test_new_day_starts_a_new_budget_without_tokens_of_the_old_one():
    """Guards against blocks that are used after their day."""

    async def scenario():
        net = network(model.Organisation(tokens_per_day=1_000))
        net.start()
        first = await spend(net, 5, 100)
        net.day_offset_s = method.SECONDS_PER_DAY
        await asyncio.sleep(6.0)
        return first, await spend(net, 40, 100)

    first, second = memory_platform.run_in_virtual_time(scenario)
    assert first == 500
    assert 900 <= second <= 1_000


def test_rate_and_concurrency_limits_hold_across_entries():
    """Guards against entries that each allow the full limit."""

    async def scenario():
        net = network(
            model.Organisation(requests_per_s=30.0, max_concurrent=6)
        )
        net.start()
        loop = asyncio.get_running_loop()
        admitted = running = peak = 0
        for number in itertools.count():
            if loop.time() > 20.0:
                break
            entry = net.entries[NAMES[number % 3]]
            got = await memory_platform.try_reserve(entry, 'council', 0)
            if not isinstance(got, errors.Refusal):
                admitted += 1
                running += 1
                peak = max(peak, running)

                def end(held=got):
                    nonlocal running
                    running -= 1
                    held.settle(0)

                loop.call_later(0.1, end)
            await asyncio.sleep(0.005)
        return admitted, peak, loop.time()

    admitted, peak, elapsed_s = memory_platform.run_in_virtual_time(scenario)
    assert peak <= 6
    assert admitted <= 30 * (elapsed_s + 1) + 6
    assert admitted >= 30 * elapsed_s * 0.85


def test_unknown_method_is_refused_with_the_allowed_names():
    """Guards against starting an entry without limits."""
    with pytest.raises(ValueError, match='owner_blocks'):
        method.create('unlimited', None)


@pytest.mark.parametrize('is_repeated', [False, True])
def test_chunk_released_with_a_lost_answer_is_not_used_again(is_repeated):
    """Guards against tokens that are both released and spent.

    An HTTP client that resends a write gets a conflict with its own write.
    """

    async def scenario():
        net = network(model.Organisation(tokens_per_day=10_000))
        net.start()
        entry = net.entries['entry-a']
        held = await entry.reserve('council', 10)
        owner = net.entries[entry.owner_of('council')]
        before = net.reserved('council'), owner.owner.held('council')
        net.store.lose_answers = 1
        net.store.repeat_lost_writes = is_repeated
        await owner.owner.close()
        held.settle(10)
        return before, net.reserved('council'), owner.owner.held('council')

    (reserved, held), after, still_held = memory_platform.run_in_virtual_time(
        scenario
    )
    assert held > 0
    assert (after, still_held) == (reserved - held, 0)


def test_slots_are_renewed_while_the_platform_does_not_answer():
    """Guards against slots whose renewal depends on the platform."""

    async def scenario():
        net = network(
            model.Organisation(tokens_per_day=10_000, max_concurrent=3)
        )
        net.start()
        first = net.entries['entry-a'].owner_of('council')
        name, other = [item for item in NAMES if item != first]
        entry = net.entries[name]
        maintenance = [
            asyncio.create_task(item.run()) for item in net.entries.values()
        ]
        await asyncio.sleep(7.0)
        for _ in range(3):
            await entry.reserve('council', 10)
        # Another entry owns this chunk, so this one tries to release it.
        message = ttypes.BlockReturn('council', '2026-01-01', 0, 500)
        entry.owner.accept_return(message)
        assert entry.owner.held('council') == 500
        net.store.hang_s = 60.0
        await asyncio.sleep(20.0)
        got = await memory_platform.try_reserve(
            net.entries[other], 'council', 0
        )
        for task in maintenance:
            task.cancel()
        await asyncio.gather(*maintenance, return_exceptions=True)
        return got

    got = memory_platform.run_in_virtual_time(scenario)
    assert isinstance(got, errors.Refusal)
    assert got.kind is errors.ErrorKind.LIMIT_EXCEEDED
