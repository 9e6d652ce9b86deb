"""Steps of the scenarios; README.md in this directory lists them."""

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


class ScenarioContext:
    """State of a scenario: deployment, background load and its samples.

    :ivar withdrawn_at: monotonic time of withdrawal, by data centre.
    """

    def __init__(self, shape: deployment.Shape) -> None:
        self.runner = asyncio.Runner()
        self.cluster = deployment.Deployment(shape)
        self.samples: list[open_loop.Sample] = []
        self.withdrawn_at: dict[str, float] = {}
        self._load: asyncio.Task[None] | None = None
        self.run(self.cluster.__aenter__())

    def run(self, work):
        """Run *work* while the background load continues."""
        return self.runner.run(work)

    def start_load(self, plan: open_loop.Plan) -> None:
        """Start the background load."""

        async def play() -> None:
            self.samples = await open_loop.send_load(self.cluster, plan)

        async def start() -> None:
            self._load = asyncio.create_task(play())

        self.run(start())

    def finish_load(self) -> None:
        """Wait until the background load and all its calls have ended."""

        async def finish() -> None:
            if self._load is not None:
                await self._load
                self._load = None

        self.run(finish())

    def close(self) -> None:
        """Stop the deployment and close the event loop."""
        self.run(self.cluster.__aexit__())
        self.runner.close()


@pytest.fixture
def contexts():
    """Collect the contexts of the scenario and close them at its end."""
    contexts: list[ScenarioContext] = []
    yield contexts
    for context in contexts:
        context.close()


@pytest.fixture
def context(contexts):
    """Return the context that the Given step has created."""
    return contexts[0]


@given(
    parsers.parse(
        'a deployment with {zones:d} data centres, {entries:d} entry and '
        '{engines:d} engines in each'
    )
)
def start_deployment(contexts, zones, entries, engines):
    names = [f'dc-{chr(ord("a") + index)}' for index in range(zones)]
    shape = deployment.Shape(
        data_centres=names,
        entries=entries,
        engines=engines,
        engine_options=('--token-ms', '15'),
    )
    contexts.append(ScenarioContext(shape))


@given(
    parsers.parse(
        'callers send {rate:d} calls a second for {seconds:d} seconds, '
        '{share:d} in 100 of them orders (seed {seed:d})'
    )
)
def start_load(context, rate, seconds, share, seed):
    context.start_load(open_loop.Plan(seed, seconds, rate, share / 100))


@when(parsers.parse('{seconds:g} seconds pass'))
def wait(context, seconds):
    context.run(asyncio.sleep(seconds))


@when(parsers.parse('data centre "{name}" is withdrawn'))
def withdraw(context, name):
    row = f'data_centre/{name}'
    context.run(context.cluster.edit_table({row: {'state': 'withdrawn'}}))
    context.withdrawn_at[name] = time.monotonic()


@when(parsers.parse('data centre "{name}" is brought back'))
def bring_back(context, name):
    row = f'data_centre/{name}'
    context.run(context.cluster.edit_table({row: {'state': 'in_service'}}))


@when(parsers.parse('"{name}" is killed'))
def kill(context, name):
    context.run(context.cluster.kill(name))


@when(parsers.parse('"{name}" is started again'))
def restart(context, name):
    context.run(context.cluster.restart(name))


@when(parsers.parse('"{name}" is paused'))
def pause(context, name):
    context.cluster.processes[name].signal(signal.SIGSTOP)


@when(parsers.parse('"{name}" is resumed'))
def resume(context, name):
    context.cluster.processes[name].signal(signal.SIGCONT)


@when(parsers.parse('"{name}" is shut down gracefully'))
def shut_down(context, name):
    assert context.run(context.cluster.terminate(name)) == 0


@when('the platform is down')
def platform_down(context):
    context.run(context.cluster.faults('platform', down=True))


@when('the platform is up again')
def platform_up(context):
    context.run(context.cluster.faults('platform', down=False))


@when(parsers.parse('the platform loses its next {count:d} answers'))
def platform_loses_answers(context, count):
    context.run(context.cluster.faults('platform', lose_answers=count))


@when('the load has ended')
def end_load(context):
    context.finish_load()


@then(parsers.parse('at least {share:d} in 100 calls were answered'))
def check_answered(context, share):
    summary = open_loop.summarise(context.samples)
    assert summary.answered * 100 >= share * summary.calls, summary


@then('no answer was truncated without an error')
def check_no_truncation(context):
    assert not [item for item in context.samples if item.is_truncated]


@then('no order ran twice')
def check_no_duplicates(context):
    counts = context.run(open_loop.executions(context.cluster))
    assert not [key for key, number in counts.items() if number > 1]


@then('every answered order ran')
def check_answered_orders_ran(context):
    counts = context.run(open_loop.executions(context.cluster))
    answered = {
        item.order_key
        for item in context.samples
        if item.kind == 'order' and item.answer.is_complete
    }
    assert answered <= set(counts)


@then('no refused order ran')
def check_refused_orders_did_not_run(context):
    counts = context.run(open_loop.executions(context.cluster))
    refused = {
        item.order_key
        for item in context.samples
        if item.kind == 'order' and item.answer.execution == 'not_run'
    }
    assert not refused & set(counts)


@then('no call failed except by a refusal')
def check_errors(context):
    assert not open_loop.summarise(context.samples).errors


@then(parsers.parse('data centre "{name}" gets no new call'))
def check_no_new_calls(context, name):
    async def count() -> int:
        elapsed_s = time.monotonic() - context.withdrawn_at[name]
        await asyncio.sleep(max(0.0, SETTLING_S - elapsed_s))
        before = await open_loop.started_calls(
            context.cluster, lambda item: name in item
        )
        await asyncio.sleep(2.0)
        after = await open_loop.started_calls(
            context.cluster, lambda item: name in item
        )
        return after - before

    assert context.run(count()) == 0


@then('a new completion and a new order are answered')
def check_new_calls(context):
    async def check() -> None:
        client = caller.Caller(context.cluster.http)
        for entry in context.cluster.named('entry-'):
            if entry.process.returncode is not None:
                continue
            chat = await client.chat(entry.url, caller.chat_request('x', 5))
            assert chat.is_complete, chat
            order = await client.order(entry.url, f'last-{entry.name}')
            assert order.is_complete, order

    context.run(check())
