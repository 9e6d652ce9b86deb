"""Steps of the scenarios; README.md in this folder lists them."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
from pytest_bdd import given, parsers, then, when

from measure import open_loop
from standins import caller, deployment

SETTLING_S = 3.0
IN_FORCE_LIMIT_S = 4.0


class World:
    """A deployment, its background load and what has happened so far."""

    def __init__(self, shape: deployment.Shape) -> None:
        self.runner = asyncio.Runner()
        self.cluster = deployment.Deployment(shape)
        self.samples: list[open_loop.Sample] = []
        self.withdrawn_at: dict[str, float] = {}
        self._load: asyncio.Task[None] | None = None
        self.run(self.cluster.__aenter__())

    def run(self, work):
        """Run *work*; the background load goes on meanwhile."""
        return self.runner.run(work)

    def start_load(self, plan: open_loop.Plan) -> None:
        """Start the background load."""

        async def play() -> None:
            self.samples = await open_loop.play(self.cluster, plan)

        async def start() -> None:
            self._load = asyncio.create_task(play())

        self.run(start())

    def finish_load(self) -> None:
        """Wait for the end of the load and of all its calls."""

        async def finish() -> None:
            if self._load is not None:
                await self._load
                self._load = None

        self.run(finish())

    def close(self) -> None:
        """Stop everything."""
        self.run(self.cluster.__aexit__())
        self.runner.close()


@pytest.fixture
def holder():
    """Hold the world of the scenario and close it at the end."""
    worlds: list[World] = []
    yield worlds
    for world in worlds:
        world.close()


@pytest.fixture
def world(holder):
    """Return the world that a Given step has created."""
    return holder[0]


@given(
    parsers.parse(
        'a deployment with {zones:d} data centres, {entries:d} entry and '
        '{engines:d} engines in each'
    )
)
def start_deployment(holder, zones, entries, engines):
    names = [f'dc-{chr(ord("a") + index)}' for index in range(zones)]
    shape = deployment.Shape(
        data_centres=names,
        entries=entries,
        engines=engines,
        engine_options=('--token-ms', '15'),
    )
    holder.append(World(shape))


@given(
    parsers.parse(
        'callers send {rate:d} calls a second for {seconds:d} seconds, '
        '{share:d} in 100 of them orders (seed {seed:d})'
    )
)
def start_load(world, rate, seconds, share, seed):
    world.start_load(open_loop.Plan(seed, seconds, rate, share / 100))


@when(parsers.parse('{seconds:g} seconds pass'))
def wait(world, seconds):
    world.run(asyncio.sleep(seconds))


@when(parsers.parse('data centre "{name}" is withdrawn'))
def withdraw(world, name):
    row = f'data_centre/{name}'
    world.run(world.cluster.edit_table({row: {'state': 'withdrawn'}}))
    world.withdrawn_at[name] = time.monotonic()


@when(parsers.parse('data centre "{name}" is returned'))
def return_zone(world, name):
    row = f'data_centre/{name}'
    world.run(world.cluster.edit_table({row: {'state': 'in_service'}}))


@when(parsers.parse('"{name}" is killed'))
def kill(world, name):
    world.run(world.cluster.kill(name))


@when(parsers.parse('"{name}" is started again'))
def restart(world, name):
    world.run(world.cluster.restart(name))


@when(parsers.parse('"{name}" is paused'))
def pause(world, name):
    world.cluster.processes[name].signal(signal.SIGSTOP)


@when(parsers.parse('"{name}" is woken'))
def wake(world, name):
    world.cluster.processes[name].signal(signal.SIGCONT)


@when(parsers.parse('"{name}" is stopped in a planned way'))
def stop(world, name):
    assert world.run(world.cluster.terminate(name)) == 0


@when('the platform is down')
def platform_down(world):
    world.run(world.cluster.faults('platform', down=True))


@when('the platform is up again')
def platform_up(world):
    world.run(world.cluster.faults('platform', down=False))


@when(parsers.parse('the platform loses its next {count:d} answers'))
def platform_loses_answers(world, count):
    world.run(world.cluster.faults('platform', lose_answers=count))


@when('the load has ended')
def end_load(world):
    world.finish_load()


@then(parsers.parse('at least {share:d} in 100 calls were answered'))
def check_answered(world, share):
    summary = open_loop.summarise(world.samples)
    assert summary.answered * 100 >= share * summary.calls, summary


@then('no answer was truncated without an error')
def check_whole(world):
    assert not [item for item in world.samples if item.is_truncated]


@then('no order ran twice')
def check_no_duplicates(world):
    counts = world.run(open_loop.executions(world.cluster))
    assert not [key for key, number in counts.items() if number > 1]


@then('every answered order ran')
def check_no_loss(world):
    counts = world.run(open_loop.executions(world.cluster))
    answered = {
        item.order_key
        for item in world.samples
        if item.kind == 'order' and item.answer.is_complete
    }
    assert answered <= set(counts)


@then('every refusal is true')
def check_refusals(world):
    counts = world.run(open_loop.executions(world.cluster))
    refused = {
        item.order_key
        for item in world.samples
        if item.kind == 'order' and item.answer.execution == 'not_run'
    }
    assert not refused & set(counts)


@then('no call failed except by a true refusal')
def check_errors(world):
    assert not open_loop.summarise(world.samples).errors


@then(parsers.parse('data centre "{name}" gets no new call'))
def check_withdrawn(world, name):
    async def count() -> int:
        passed_s = time.monotonic() - world.withdrawn_at[name]
        await asyncio.sleep(max(0.0, SETTLING_S - passed_s))
        before = await open_loop.started(
            world.cluster, lambda item: name in item
        )
        await asyncio.sleep(2.0)
        after = await open_loop.started(
            world.cluster, lambda item: name in item
        )
        return after - before

    assert world.run(count()) == 0


@then('a new completion and a new order are answered')
def check_service(world):
    async def check() -> None:
        client = caller.Caller(world.cluster.http)
        for entry in world.cluster.named('entry-'):
            if entry.process.returncode is not None:
                continue
            chat = await client.chat(entry.url, caller.chat_request('x', 5))
            assert chat.is_complete, chat
            order = await client.order(entry.url, f'last-{entry.name}')
            assert order.is_complete, order

    world.run(check())
