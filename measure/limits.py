"""Compares the limit methods and the fair queue.

``python -m measure.limits --seed N --size small|full``. The methods of the
daemons run in one process on the same recorded bursts, over an object store
in memory with delays and a clock that needs no real time. Entries are killed
and restarted and lose sight of each other, and the store loses answers, at
the same moments for each method. ``used`` is what the calls really took.
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
SETTLE_S = 15.0
ORDINARY = 9
FLOOD_RATE = 400.0
ORDINARY_RATE = 8.0
PLACES = 40
PLACE_S = 0.2


@dataclasses.dataclass(frozen=True)
class Size:
    """Size of a run.

    :ivar budget: tokens of the day; the recorded calls would use twice as
        many. ``platform_call`` makes some 40 platform calls a request in
        these bursts, which bounds what can be run.
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
    """One recorded call.

    :ivar worst: tokens reserved; *used* of them are really used.
    """

    at_s: float
    entry: int
    worst: int
    used: int
    lasts_s: float


@dataclasses.dataclass
class Outcome:
    """What one method did with the recorded calls."""

    used: int = 0
    admitted: int = 0
    calls: int = 0
    platform_calls: int = 0
    messages: int = 0


def record_bursts(seed: int, size: Size) -> list[Arrival]:
    """Return arrivals that would use twice the budget, in bursts.

    Most bursts reach one entry: callers keep their connections.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    wanted = 0
    while wanted < 2 * size.budget:
        start_s = rng.uniform(0, size.duration_s)
        home = rng.randrange(ENTRIES)
        for _ in range(rng.randint(1, 60)):
            worst = rng.randint(*MAX_TOKENS)
            used = max(1, int(worst * rng.triangular(0.05, 1.0, 0.4)))
            entry = home if rng.random() < 0.7 else rng.randrange(ENTRIES)
            arrivals.append(
                Arrival(
                    start_s + rng.uniform(0, 0.2),
                    entry,
                    worst,
                    used,
                    rng.uniform(*CALL_S),
                )
            )
            wanted += used
    return sorted(arrivals, key=lambda item: item.at_s)


async def run_bursts(
    name: str, arrivals: Sequence[Arrival], seed: int, size: Size
) -> Outcome:
    """Run one method on the arrivals, with failures."""
    store = memory_platform.MemoryStore(STORE_DELAY_S, seed)
    row = model.Organisation(tokens_per_day=size.budget)
    names = tuple(f'entry-{number}' for number in range(ENTRIES))
    net = memory_platform.Network(store, {'org': row}, names, name)
    net.start()
    outcome = Outcome()
    work = [asyncio.create_task(_tend(net, name)) for name in names]
    work.append(asyncio.create_task(_fail(net, seed, size.duration_s)))
    calls = []
    for item in arrivals:
        await _sleep_until(item.at_s)
        calls.append(asyncio.create_task(_call(net, item, outcome)))
    await asyncio.gather(*calls)
    await _sleep_until(size.duration_s + SETTLE_S)
    # What is left has to be usable from any entry.
    for _ in range(3):
        for number in range(ENTRIES):
            probe = Arrival(0.0, number, MAX_TOKENS[0], MAX_TOKENS[0], 0.01)
            while await _call(net, probe, outcome):
                pass
        await asyncio.sleep(SETTLE_S)
    for task in work:
        task.cancel()
    await asyncio.gather(*work, return_exceptions=True)
    outcome.platform_calls = store.calls
    outcome.messages = net.messages.total()
    return outcome


async def _sleep_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - asyncio.get_running_loop().time()))


async def _tend(net: memory_platform.Network, name: str) -> None:
    """Do the periodic work of an entry, whichever instance it is."""
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


async def _fail(
    net: memory_platform.Network, seed: int, duration_s: float
) -> None:
    """One entry is killed and one loses sight of the others; answers go."""
    rng = random.Random(seed)
    victim, lonely = rng.sample(net.names, 2)
    await _sleep_until(duration_s * 0.2)
    net.store.lose_answers = 3
    await _sleep_until(duration_s * 0.3)
    net.unseen.update((lonely, other) for other in net.names)
    await _sleep_until(duration_s * 0.45)
    net.unseen.clear()
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
    got = await memory_platform.try_call(net.entries[name], 'org', item.worst)
    if isinstance(got, errors.Refusal):
        return False
    outcome.admitted += 1
    outcome.used += item.used
    await asyncio.sleep(item.lasts_s)
    got.settle(item.used)
    return True


@dataclasses.dataclass
class _Unlimited:
    """Limit method without limits, to measure the queue alone."""

    async def reserve(self, organisation: str, tokens: int):
        return self

    def settle(self, used_tokens: int) -> None:
        """See :class:`method.Reservation`."""


async def run_queue(seed: int, duration_s: float, has_flood: bool) -> float:
    """Return the share of ordinary organisations' calls that are lost."""
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
        't', 's', ttypes.TargetState.IN_SERVICE, 0, 0, PLACES, report_age_ms=0
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

    async def one(name: str) -> None:
        item = call.Call(
            'id', name, 's', model.Service(), 'POST', '/', {}, b'', None,
            False, 0, '', time.monotonic() + 3600,
        )  # fmt: skip
        sent[name] += 1
        try:
            async with queue.admit(item):
                view.started('t')
                await asyncio.sleep(PLACE_S * rng.uniform(0.5, 1.5))
                view.finished('t')
        except errors.Refusal:
            lost[name] += 1

    async def organisation(name: str, rate: float) -> None:
        calls = []
        while loop.time() < duration_s:
            await asyncio.sleep(rng.expovariate(rate))
            calls.append(asyncio.create_task(one(name)))
        await asyncio.gather(*calls)

    reports = asyncio.create_task(report())
    await asyncio.sleep(0)
    ordinary = [f'ordinary-{number}' for number in range(ORDINARY)]
    callers = [organisation(name, ORDINARY_RATE) for name in ordinary]
    if has_flood:
        callers.append(organisation('flood', FLOOD_RATE))
    await asyncio.gather(*callers)
    reports.cancel()
    return sum(lost[name] for name in ordinary) / sum(
        sent[name] for name in ordinary
    )


def figures_of(
    name: str, runs: Sequence[Outcome], budget: int
) -> list[common.Figure]:
    """Return the figures of one method; only the chosen has targets."""
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
    """Measure; return 1 if the chosen method misses a target."""
    args = common.arguments(__doc__.partition('\n')[0])
    size = SIZES[args.size]
    seeds = range(args.seed, args.seed + size.seeds)
    runs = collections.defaultdict(list)
    for seed in seeds:
        arrivals = record_bursts(seed, size)
        for name in sorted(method.METHODS):
            runs[name].append(
                memory_platform.run_fast(
                    lambda name=name, arrivals=arrivals, seed=seed: run_bursts(
                        name, arrivals, seed, size
                    )
                )
            )
    figures = [
        item
        for name in sorted(runs)
        for item in figures_of(name, runs[name], size.budget)
    ]
    losses = {
        has_flood: [
            memory_platform.run_fast(
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
