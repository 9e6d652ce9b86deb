"""Compares the limit methods and measures the fair queue.

``python -m measure.limits --seed N --size small|full``. All limit methods run
in one process on the same generated bursts, in simulated time and with an
in-memory object store that has delays. At the same times for each method, an
entry is killed and restarted, an entry is isolated from the others, and the
store loses answers. ``used`` counts the tokens that the calls really used.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import random
import sys
import time
from collections.abc import Sequence

from standins import memory_platform
from wagtailhollow import errors
from wagtailhollow.internal.entry import admission, call
from wagtailhollow.internal.limits import method
from wagtailhollow.internal.routing import load_view
from wagtailhollow.internal.settings import schema
from wagtailhollow.internal.table import model, queries
from wagtailhollow.internal.wire import auth
from wagtailhollow.internal.wire.gen import ttypes

from . import common

CHOSEN = 'owner_blocks'
ENTRIES = 6
STORE_DELAY_S = (0.001, 0.004)
MAX_TOKENS = (100, 800)
CALL_S = (0.05, 1.5)
QUIET_S = 15.0
ORDINARY_ORGANISATIONS = 9
FLOOD_RATE = 400.0
ORDINARY_RATE = 8.0
SLOTS = 40
SLOT_S = 0.2


@dataclasses.dataclass(frozen=True)
class Size:
    """Size of a run.

    :ivar budget: tokens per day; the calls would use twice as many.
        ``platform_call`` makes about 40 platform calls per request in these
        bursts, which limits the size of a run.
    """

    seeds: int
    duration_s: float
    budget: int
    queue_s: float


SIZES = {
    'small': Size(3, 20.0, 200_000, 10.0),
    'full': Size(5, 60.0, 1_000_000, 60.0),
}


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One generated call.

    :ivar used: tokens that are really used of the reserved ones.
    """

    at_s: float
    entry: int
    reserved_tokens: int
    used: int
    duration_s: float


@dataclasses.dataclass
class Outcome:
    """Result of running one limit method on the calls."""

    used: int = 0
    admitted: int = 0
    calls: int = 0
    platform_calls: int = 0
    messages: int = 0


def generate_bursts(seed: int, size: Size) -> list[Arrival]:
    """Generate bursts of calls that would use twice the budget.

    Most calls of a burst go to one entry, as callers reuse connections.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    total_used = 0
    while total_used < 2 * size.budget:
        start_s = rng.uniform(0, size.duration_s)
        home = rng.randrange(ENTRIES)
        for _ in range(rng.randint(1, 60)):
            reserved_tokens = rng.randint(*MAX_TOKENS)
            used = max(
                1, int(reserved_tokens * rng.triangular(0.05, 1.0, 0.4))
            )
            entry = home if rng.random() < 0.7 else rng.randrange(ENTRIES)
            arrivals.append(
                Arrival(
                    start_s + rng.uniform(0, 0.2),
                    entry,
                    reserved_tokens,
                    used,
                    rng.uniform(*CALL_S),
                )
            )
            total_used += used
    return sorted(arrivals, key=lambda item: item.at_s)


async def run_bursts(
    name: str, arrivals: Sequence[Arrival], seed: int, size: Size
) -> Outcome:
    """Run one limit method on *arrivals*, with failures."""
    store = memory_platform.MemoryStore(STORE_DELAY_S, seed)
    row = model.Organisation(tokens_per_day=size.budget)
    names = tuple(f'entry-{number}' for number in range(ENTRIES))
    net = memory_platform.Network(store, {'org': row}, names, name)
    net.start()
    outcome = Outcome()
    background_tasks = [
        asyncio.create_task(_run_maintenance(net, name)) for name in names
    ]
    background_tasks.append(
        asyncio.create_task(_inject_failures(net, seed, size.duration_s))
    )
    calls = []
    for item in arrivals:
        await _sleep_until(item.at_s)
        calls.append(asyncio.create_task(_call(net, item, outcome)))
    await asyncio.gather(*calls)
    await _sleep_until(size.duration_s + QUIET_S)
    # The remaining tokens must be available at each entry.
    for _ in range(3):
        for number in range(ENTRIES):
            extra_call = Arrival(
                0.0, number, MAX_TOKENS[0], MAX_TOKENS[0], 0.01
            )
            while await _call(net, extra_call, outcome):
                pass
        await asyncio.sleep(QUIET_S)
    for task in background_tasks:
        task.cancel()
    await asyncio.gather(*background_tasks, return_exceptions=True)
    outcome.platform_calls = store.calls
    outcome.messages = net.messages.total()
    return outcome


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))


async def _run_maintenance(net: memory_platform.Network, name: str) -> None:
    """Run the maintenance of an entry, also after each restart."""
    while True:
        task = asyncio.create_task(net.entries[name].run())
        entry = net.entries[name]
        try:
            while net.entries[name] is entry and name not in net.dead:
                await asyncio.sleep(0.5)
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        while name in net.dead:
            await asyncio.sleep(0.5)


async def _inject_failures(
    net: memory_platform.Network, seed: int, duration_s: float
) -> None:
    """Lose answers, isolate an entry and restart another one."""
    rng = random.Random(seed)
    victim, isolated = rng.sample(net.names, 2)
    await _sleep_until(duration_s * 0.2)
    net.store.lose_answers = 3
    await _sleep_until(duration_s * 0.3)
    net.believed_down.update((isolated, other) for other in net.names)
    await _sleep_until(duration_s * 0.45)
    net.believed_down.clear()
    await _sleep_until(duration_s * 0.6)
    net.dead.add(victim)
    await _sleep_until(duration_s * 0.65)
    net.restart(victim)


async def _call(
    net: memory_platform.Network, item: Arrival, outcome: Outcome
) -> bool:
    name = net.names[item.entry]
    if name in net.dead:
        name = net.names[(item.entry + 1) % ENTRIES]
    outcome.calls += 1
    got = await memory_platform.try_reserve(
        net.entries[name], 'org', item.reserved_tokens
    )
    if isinstance(got, errors.Refusal):
        return False
    outcome.admitted += 1
    outcome.used += item.used
    await asyncio.sleep(item.duration_s)
    got.settle(item.used)
    return True


@dataclasses.dataclass
class _Unlimited:
    """Limit method without limits, to measure only the queue."""

    async def reserve(self, organisation: str, tokens: int):
        return self

    def settle(self, used_tokens: int) -> None:
        """See :class:`method.Reservation`."""


async def run_queue(seed: int, duration_s: float, has_flood: bool) -> float:
    """Return the share of the ordinary organisations' calls that fail."""
    loop = asyncio.get_running_loop()
    rng = random.Random(seed)
    rows = {'service/s': {'models': ['m']}}
    table = queries.TableView(model.Table(1, rows))
    view = load_view.LoadView(loop.time)
    limits = admission.ServiceCapacity(view, lambda: table, lambda: 1)
    queue = admission.Admission(
        schema.RequestLimits(), _Unlimited(), limits, lambda: table
    )
    load = ttypes.TargetLoad(
        't', 's', ttypes.TargetState.IN_SERVICE, 0, 0, SLOTS, report_age_ms=0
    )
    agent = auth.Identity('agent', ttypes.Role.AGENT, 'dc', 'd', 1)
    sent: collections.Counter[str] = collections.Counter()
    lost: collections.Counter[str] = collections.Counter()

    async def report() -> None:
        while True:
            load.running = view.outstanding('t')
            view.record_report(agent, load, False)
            queue.apply_load_report(load)
            await asyncio.sleep(1.0)

    async def send_call(name: str) -> None:
        item = call.Call(
            'id', name, 's', model.Service(), 'POST', '/', {}, b'', None,
            False, 0, '', time.monotonic() + 3600,
        )  # fmt: skip
        sent[name] += 1
        try:
            async with queue.admit(item):
                view.started('t')
                await asyncio.sleep(SLOT_S * rng.uniform(0.5, 1.5))
                view.finished('t')
        except errors.Refusal:
            lost[name] += 1

    async def organisation(name: str, rate: float) -> None:
        calls = []
        while loop.time() < duration_s:
            await asyncio.sleep(rng.expovariate(rate))
            calls.append(asyncio.create_task(send_call(name)))
        await asyncio.gather(*calls)

    reports = asyncio.create_task(report())
    await asyncio.sleep(0)
    ordinary = [
        f'ordinary-{number}' for number in range(ORDINARY_ORGANISATIONS)
    ]
    callers = [organisation(name, ORDINARY_RATE) for name in ordinary]
    if has_flood:
        callers.append(organisation('flood', FLOOD_RATE))
    await asyncio.gather(*callers)
    reports.cancel()
    return sum(lost[name] for name in ordinary) / sum(
        sent[name] for name in ordinary
    )


def method_figures(
    name: str, runs: Sequence[Outcome], budget: int
) -> list[common.Figure]:
    """Return the figures of one method; only the chosen one has targets."""
    is_chosen = name == CHOSEN

    def figure(label, unit, values, target, is_met):
        return common.Figure(
            f'limits/{name}/{label}',
            unit,
            values,
            target if is_chosen else '',
            is_met if is_chosen else None,
        )

    return [
        figure(
            'overspend',
            'tokens',
            [max(0, run.used - budget) for run in runs],
            '0',
            lambda value: value == 0,
        ),
        figure(
            'overspend_worst',
            'tokens',
            [max(max(0, run.used - budget) for run in runs)],
            '0',
            lambda value: value == 0,
        ),
        figure(
            'refused_though_available',
            'share',
            [max(0, budget - run.used) / budget for run in runs],
            'under 0.02',
            lambda value: value < 0.02,
        ),
        figure(
            'messages_per_request',
            'messages',
            [run.messages / run.calls for run in runs],
            '',
            None,
        ),
        figure(
            'platform_calls_per_request',
            'calls',
            [run.platform_calls / run.calls for run in runs],
            '',
            None,
        ),
    ]


def main() -> int:
    """Run the measurement; return 1 if the chosen method misses a target."""
    args = common.parse_arguments(__doc__.partition('\n')[0])
    size = SIZES[args.size]
    seeds = range(args.seed, args.seed + size.seeds)
    runs = collections.defaultdict(list)
    for seed in seeds:
        arrivals = generate_bursts(seed, size)
        for name in sorted(method.METHODS):
            runs[name].append(
                memory_platform.run_in_virtual_time(
                    lambda name=name, arrivals=arrivals, seed=seed: run_bursts(
                        name, arrivals, seed, size
                    )
                )
            )
    figures = [
        item
        for name in sorted(runs)
        for item in method_figures(name, runs[name], size.budget)
    ]
    losses = {
        has_flood: [
            memory_platform.run_in_virtual_time(
                lambda seed=seed, has_flood=has_flood: run_queue(
                    seed, size.queue_s, has_flood
                )
            )
            for seed in seeds
        ]
        for has_flood in (False, True)
    }
    figures += [
        common.Figure(
            'limits/queue/lost_without_flood', 'share', losses[False]
        ),
        common.Figure(
            'limits/queue/lost_beside_flood',
            'share',
            losses[True],
            'under 0.01',
            lambda value: value < 0.01,
        ),
    ]
    return common.report('measure-limits.json', figures)


if __name__ == '__main__':
    sys.exit(main())
