"""Callers that place orders while faults of every kind happen at random."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import random
import signal
from collections.abc import Awaitable, Callable

import aiohttp

from . import deployment

FAULT_PERIOD_S = 0.35
CALLER_TIMEOUT_S = 4.0
MAX_TRIES = 8
SHAPE = deployment.Shape(data_centres=('dc-a',), entries=2, engines=0, plain=2)


@dataclasses.dataclass
class Order:
    """One order and every answer that its caller got.

    :ivar answers: ``result``, ``not_run``, ``may_have_run`` or, without an
        answer, ``none``.
    """

    name: str
    is_keyed: bool
    answers: list[str] = dataclasses.field(default_factory=list)
    kinds: list[str] = dataclasses.field(default_factory=list)
    method: str = 'POST'


async def send(
    cluster: deployment.Deployment,
    url: str,
    order: Order,
    method: str = 'POST',
    timeout_s: float = CALLER_TIMEOUT_S,
) -> str:
    """Send an order once and note the answer."""
    headers = {'Authorization': 'Bearer key-council'}
    if order.is_keyed:
        headers['Idempotency-Key'] = order.name
    answer, kind = 'none', ''
    try:
        async with cluster.http.request(
            method,
            f'{url}/v1/services/{deployment.PLAIN_SERVICE}/orders',
            json={'key': order.name},
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
        ) as resp:
            text = await resp.read()
            if 'X-Execution' in resp.headers:
                answer = resp.headers['X-Execution']
                kind = json.loads(text)['error']['kind']
            elif resp.status == 201:
                assert json.loads(text)['key'] == order.name
                answer = 'result'
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        kind = type(exc).__name__
    order.answers.append(answer)
    order.kinds.append(kind)
    return answer


async def executions(
    cluster: deployment.Deployment,
) -> collections.Counter[str]:
    """Return the number of executions by order, over all instances."""
    total: collections.Counter[str] = collections.Counter()
    for process in cluster.named('plain-'):
        total.update(await cluster.get(f'{process.url}/executions'))
    return total


class FaultInjector:
    """Faults at random moments, several at once."""

    def __init__(self, cluster: deployment.Deployment, seed: int) -> None:
        self.seed = seed
        self.counts: collections.Counter[str] = collections.Counter()
        self._cluster = cluster
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()

    async def run(self, duration_s: float) -> None:
        """Cause faults for a while, then heal everything."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        faults = (
            self._platform_down, self._platform_slow, self._platform_mute,
            self._lose_answers, self._pause, self._kill, self._pause,
            self._kill, self._fail_target, self._pause_long,
        )  # fmt: skip
        while loop.time() < end_s:
            fault = self._random.choice(faults)
            task = asyncio.create_task(self._cause(fault))
            self._tasks.add(task)
            await asyncio.sleep(FAULT_PERIOD_S)
        await asyncio.gather(*self._tasks)
        await self._cluster.wait_ready()

    async def _cause(self, fault: Callable[[], Awaitable[None]]) -> None:
        self.counts[fault.__name__.removeprefix('_')] += 1
        await fault()

    async def _platform_down(self) -> None:
        await self._with_fault('platform', 0.8, down=True)

    async def _platform_slow(self) -> None:
        await self._with_fault('platform', 1.0, delay_s=0.4)

    async def _lose_answers(self) -> None:
        await self._cluster.faults('platform', lose_answers=3)

    async def _platform_mute(self) -> None:
        await self._cluster.faults('platform', mute_answers=1)

    async def _fail_target(self) -> None:
        name = self._choose(('plain-',))
        fault = self._random.choice(
            ('fail_after', 'fail_before', 'cut_answer')
        )
        await self._with_fault(name, 0.5, **{fault: True})

    async def _pause(self) -> None:
        await self._stop_for(self._choose(('entry-', 'agent-')), 1.0)

    async def _pause_long(self) -> None:
        # Longer than the silence after which a connection is given up.
        await self._stop_for(self._choose(('entry-', 'agent-')), 4.0)

    async def _stop_for(self, name: str, pause_s: float) -> None:
        if name in self._busy:
            return
        self._busy.add(name)
        process = self._cluster.processes[name]
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        process.signal(signal.SIGCONT)
        self._busy.discard(name)

    async def _kill(self) -> None:
        name = self._choose(('entry-', 'agent-'))
        if name in self._busy:
            return
        self._busy.add(name)
        await self._cluster.kill(name)
        await self._cluster.restart(name)
        self._busy.discard(name)

    async def _with_fault(
        self, name: str, duration_s: float, **faults: object
    ) -> None:
        await self._cluster.faults(name, **faults)
        await asyncio.sleep(duration_s)
        calm = {key: type(value)() for key, value in faults.items()}
        await self._cluster.faults(name, **calm)

    def _choose(self, prefixes: tuple[str, ...]) -> str:
        names = [
            name
            for name in sorted(self._cluster.processes)
            if name.startswith(prefixes)
        ]
        return self._random.choice(names)


async def place_orders(
    cluster: deployment.Deployment, injector: FaultInjector, duration_s: float
) -> list[Order]:
    """Place orders through both entries while the injector rages.

    A keyed order is sent again, through any entry, until a result or until
    it has been tried often enough; an order without a key is sent once.
    """
    chooser = random.Random(injector.seed + 1)
    orders: list[Order] = []
    urls = [item.url for item in cluster.named('entry-')]
    for item in cluster.named('plain-'):
        await cluster.faults(item.name, delay_s=0.15)
    injection = asyncio.create_task(injector.run(duration_s))
    tasks = []
    while not injection.done():
        order = Order(f'order-{len(orders)}', chooser.random() < 0.6)
        orders.append(order)
        tasks.append(
            asyncio.create_task(_place(cluster, urls, order, chooser))
        )
        await asyncio.sleep(0.08)
    await injection
    await asyncio.gather(*tasks)
    # What is still unknown now stays unknown: nothing fails any more.
    for order in orders:
        if order.is_keyed and order.answers[-1] != 'result':
            await send(cluster, urls[0], order, order.method)
    return orders


async def _place(
    cluster: deployment.Deployment,
    urls: list[str],
    order: Order,
    chooser: random.Random,
) -> None:
    order.method = chooser.choice(('POST', 'PUT'))
    for _ in range(MAX_TRIES if order.is_keyed else 1):
        url = chooser.choice(urls)
        if await send(cluster, url, order, order.method) == 'result':
            return
        await asyncio.sleep(0.3)
