"""Places orders while faults are injected at random."""

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
MAX_ATTEMPTS = 8
SHAPE = deployment.Shape(data_centres=('dc-a',), entries=2, engines=0, plain=2)


@dataclasses.dataclass
class Order:
    """An order and the outcome of each attempt to place it.

    :ivar is_keyed: whether it has an idempotency key, so that it may be sent
        again.
    :ivar answers: ``result``, ``not_run``, ``may_have_run`` or, if there was
        no answer, ``none``.
    :ivar error_kinds: error kind or exception type, '' for a result.
    """

    name: str
    is_keyed: bool
    answers: list[str] = dataclasses.field(default_factory=list)
    error_kinds: list[str] = dataclasses.field(default_factory=list)
    method: str = 'POST'


async def send(
    cluster: deployment.Deployment,
    url: str,
    order: Order,
    method: str = 'POST',
    timeout_s: float = CALLER_TIMEOUT_S,
) -> str:
    """Send an order once, and record and return the outcome."""
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
    order.error_kinds.append(kind)
    return answer


async def executions(
    cluster: deployment.Deployment,
) -> collections.Counter[str]:
    """Return the executions of each order over all instances."""
    total: collections.Counter[str] = collections.Counter()
    for process in cluster.named('plain-'):
        total.update(await cluster.get(f'{process.url}/executions'))
    return total


class FaultInjector:
    """Injects random faults, several of them at the same time."""

    def __init__(self, cluster: deployment.Deployment, seed: int) -> None:
        self.seed = seed
        self.counts: collections.Counter[str] = collections.Counter()
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._processes_under_fault: set[str] = set()

    async def run(self, duration_s: float) -> None:
        """Inject faults, then wait until all processes are ready."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        faults = (
            self._platform_down, self._platform_slow, self._platform_mute,
            self._lose_answers, self._pause, self._kill, self._pause,
            self._kill, self._fail_target, self._pause_long,
        )  # fmt: skip
        while loop.time() < end_s:
            fault = self._rng.choice(faults)
            task = asyncio.create_task(self._inject(fault))
            self._tasks.add(task)
            await asyncio.sleep(FAULT_PERIOD_S)
        await asyncio.gather(*self._tasks)
        await self._cluster.wait_ready()

    async def _inject(self, fault: Callable[[], Awaitable[None]]) -> None:
        self.counts[fault.__name__.removeprefix('_')] += 1
        await fault()

    async def _platform_down(self) -> None:
        await self._inject_for('platform', 0.8, down=True)

    async def _platform_slow(self) -> None:
        await self._inject_for('platform', 1.0, delay_s=0.4)

    async def _lose_answers(self) -> None:
        await self._cluster.faults('platform', lose_answers=3)

    async def _platform_mute(self) -> None:
        await self._cluster.faults('platform', mute_answers=1)

    async def _fail_target(self) -> None:
        name = self._choose_process(('plain-',))
        fault = self._rng.choice(('fail_after', 'fail_before', 'cut_answer'))
        await self._inject_for(name, 0.5, **{fault: True})

    async def _pause(self) -> None:
        await self._pause_process(
            self._choose_process(('entry-', 'agent-')), 1.0
        )

    async def _pause_long(self) -> None:
        # Longer than the silence after which peers close a connection.
        await self._pause_process(
            self._choose_process(('entry-', 'agent-')), 4.0
        )

    async def _pause_process(self, name: str, pause_s: float) -> None:
        if name in self._processes_under_fault:
            return
        self._processes_under_fault.add(name)
        process = self._cluster.processes[name]
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        process.signal(signal.SIGCONT)
        self._processes_under_fault.discard(name)

    async def _kill(self) -> None:
        name = self._choose_process(('entry-', 'agent-'))
        if name in self._processes_under_fault:
            return
        self._processes_under_fault.add(name)
        await self._cluster.kill(name)
        await self._cluster.restart(name)
        self._processes_under_fault.discard(name)

    async def _inject_for(
        self, name: str, duration_s: float, **faults: object
    ) -> None:
        await self._cluster.faults(name, **faults)
        await asyncio.sleep(duration_s)
        cleared = {key: type(value)() for key, value in faults.items()}
        await self._cluster.faults(name, **cleared)

    def _choose_process(self, prefixes: tuple[str, ...]) -> str:
        names = [
            name
            for name in sorted(self._cluster.processes)
            if name.startswith(prefixes)
        ]
        return self._rng.choice(names)


async def place_orders(
    cluster: deployment.Deployment, injector: FaultInjector, duration_s: float
) -> list[Order]:
    """Place orders through both entries while faults are injected.

    A keyed order is sent again, through any entry, until it has a result or
    has been sent ``MAX_ATTEMPTS`` times; an order without a key is sent once.
    """
    rng = random.Random(injector.seed + 1)
    orders: list[Order] = []
    urls = [item.url for item in cluster.named('entry-')]
    for item in cluster.named('plain-'):
        await cluster.faults(item.name, delay_s=0.15)
    injection = asyncio.create_task(injector.run(duration_s))
    tasks = []
    while not injection.done():
        order = Order(f'order-{len(orders)}', rng.random() < 0.6)
        orders.append(order)
        tasks.append(
            asyncio.create_task(_place_order(cluster, urls, order, rng))
        )
        await asyncio.sleep(0.08)
    await injection
    await asyncio.gather(*tasks)
    # No further faults are injected: an outcome that is unknown after this
    # attempt stays unknown.
    for order in orders:
        if order.is_keyed and order.answers[-1] != 'result':
            await send(cluster, urls[0], order, order.method)
    return orders


async def _place_order(
    cluster: deployment.Deployment,
    urls: list[str],
    order: Order,
    rng: random.Random,
) -> None:
    order.method = rng.choice(('POST', 'PUT'))
    for _ in range(MAX_ATTEMPTS if order.is_keyed else 1):
        url = rng.choice(urls)
        if await send(cluster, url, order, order.method) == 'result':
            return
        await asyncio.sleep(0.3)
