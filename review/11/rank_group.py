"""Stand-ins of the model engines: the ranks of one group.

All ranks execute each pass together, with the maps, orders and holds that
PROTOCOL describes. An order may get no answer and be carried out late; a case
says which (:attr:`RankGroup.delay_of`).
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import http_peer
import small_fleet

NAME = 'g0'
EPOCH = 1
SETS = 2
EXPERTS = 16
PLACES = 5
SPARE = 4
EXPERT_MB = 1700.0
LINK_MBPS = 92000.0
COPY_S = EXPERT_MB * 8 / LINK_MBPS
EVENTS = 24
HOT = 3
HOT_PERIOD_S = 4.0
"""Number of experts of a set in demand, and the time after which others are.
"""

ENGINE = {
    'slots': 6,
    'kv_capacity': 140000,
    'kv_token_bytes': 70272,
    'link_mbps': LINK_MBPS,
    'stride': 4,
    'models': [{'name': 'm'}],
    'step_ms': 4.55,
    'per_seq_ms': 1.81,
    'context_per_k': 0.0366,
    'read_per_s': 61400.0,
    'pairs_per_m': 0.525,
    'chunk': 512,
    'report_lag_ms': 200.0,
    'delays': [],
    'usual': {'prompt': 835, 'answer': 97},
    'sets': SETS,
    'experts': EXPERTS,
    'places': PLACES,
    'spare': SPARE,
    'expert_mb': EXPERT_MB,
    'expert_share': 0.85,
    'form_ms': 600.0,
}

Order = dict[str, Any]


class Rank:
    """The engine of one rank."""

    def __init__(self, group: RankGroup, number: int) -> None:
        self._group = group
        self.number = number
        self.version = 0
        self.experts = [
            sorted({number, (number + 8) % EXPERTS, (number + 1) % EXPERTS})
            for _ in range(SETS)
        ]
        self.highest = 0
        self.prepared: tuple[int, list[list[int]], float] | None = None
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None
        self.seq = 0
        self.running = 0
        self.counts = [0] * (SETS * EXPERTS)
        self.reset_until_s = 0.0
        self.server = http_peer.HttpServer(self._handle)

    @property
    def ready_version(self) -> int | None:
        """Return the version whose copy is complete."""
        if self.prepared is None or time.monotonic() < self.prepared[2]:
            return None
        return self.prepared[0]

    def reset_channels(self, for_s: float) -> None:
        """Reset the agent's channels, and new ones for some time."""
        self.reset_until_s = time.monotonic() + for_s
        for channel in list(self.server.channels):
            channel.reset()

    async def _handle(
        self, channel: http_peer.Channel, req: http_peer.Request
    ) -> None:
        if time.monotonic() < self.reset_until_s:
            channel.reset()
            return
        if req.path == '/report':
            await channel.answer(200, json.dumps(self._report()).encode())
        elif req.path == '/picked':
            row = self._lists() if 'lists' in req.query else self._picked()
            await channel.answer(200, json.dumps(row).encode())
        elif req.path == '/order':
            await self._order(channel, json.loads(req.body))
        elif req.path == '/healthz':
            await channel.answer(200, b'', {'X-Instance-Id': self.name})
        else:
            await self._group.serve(self, channel, req)

    @property
    def name(self) -> str:
        """Return the id of the engine."""
        return f'i-engine-{self.number}'

    def _report(self) -> dict[str, Any]:
        armed = self.armed
        return {
            'stage': 'both',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
            'busy': False,
            'seq': self.seq,
            'born': self._group.born,
            'queued': 0,
            'running': self.running + self._group.other_work,
            'kv_used': 1000,
            'kv_total': 140000,
            'handles': 0,
            'pace': 1.0,
            'group': {
                'name': NAME,
                'epoch': EPOCH,
                'rank': self.number,
                'state': 'open',
            },
            'size': len(self._group.ranks),
            'step': self._group.step,
            'map': self.version,
            'prepared': self.ready_version,
            'armed': armed and {'version': armed[0], 'step': armed[1]},
            'held': self.held,
        }

    def _picked(self) -> dict[str, Any]:
        return {
            'step': self._group.step,
            'epoch': EPOCH,
            'born': self._group.born,
            'counts': self.counts,
        }

    def _lists(self) -> dict[str, Any]:
        prepared = self.prepared
        return {
            'step': self._group.step,
            'epoch': EPOCH,
            'born': self._group.born,
            'map': {'version': self.version, 'experts': self.experts},
            'prepared': prepared
            and {'version': prepared[0], 'experts': prepared[1]},
        }

    async def _order(self, channel: http_peer.Channel, order: Order) -> None:
        delay_s = self._group.delay_of(self, order)
        if delay_s is None:
            status = self.execute(order)
            self._group.note(self, order, f'answered {status}')
            await channel.answer(status)
            return
        self._group.note(self, order, 'no answer')
        task = asyncio.create_task(self._execute_late(order, delay_s))
        self._group.tasks.add(task)
        await asyncio.sleep(30)

    async def _execute_late(self, order: Order, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        status = self.execute(order)
        self._group.note(self, order, f'carried out late ({status})')

    def execute(self, order: Order) -> int:
        """Carry an order out; return the status of its answer."""
        if order.get('epoch', EPOCH) != EPOCH:
            return 409
        execute = getattr(self, f'_do_{order["op"]}', None)
        if execute is None:
            return 400
        status = execute(order)
        self.seq += status == 202
        return status

    def _do_prepare(self, order: Order) -> int:
        version = order['version']
        if version <= self.highest or self.armed is not None:
            return 409
        experts = [list(row[self.number]) for row in order['map']]
        new = [
            len(set(after) - set(before))
            for before, after in zip(self.experts, experts, strict=True)
        ]
        if max(new) > SPARE or max(map(len, experts)) > PLACES:
            return 409
        self.highest = version
        ready_s = time.monotonic() + sum(new) * COPY_S
        self.prepared = (version, experts, ready_s)
        return 202

    def _do_arm(self, order: Order) -> int:
        version, step = order['version'], order['step']
        if self.armed == (version, step):
            return 200
        if self.ready_version != version or step <= self._group.step:
            return 409
        self.armed = (version, step)
        return 202

    def _do_disarm(self, order: Order) -> int:
        if self.version == order['version']:
            return 409
        if self.armed is None or self.armed[0] != order['version']:
            return 200
        self.armed = None
        return 202

    def _do_hold(self, order: Order) -> int:
        step = order['step']
        if self.held == step:
            return 200
        if step <= self._group.step or self.held is not None:
            return 409
        self.held = step
        return 202

    def _do_go(self, order: Order) -> int:
        if self.held != order['step']:
            return 200
        self.held = None
        return 202

    def begin(self, step: int) -> None:
        """Switch to the armed map if its pass begins."""
        if self.armed is not None and self.armed[1] <= step:
            self.version, self.experts, _ = self.prepared
            self.prepared = None
            self.armed = None


class RankGroup:
    """The ranks of one group and their passes.

    :ivar delay_of: called with a rank and an order; returns the seconds after
        which the order is carried out without an answer, None for an order
        that is answered at once.
    :ivar other_work: requests that each engine has from others all the time;
        without any request the group makes no passes.
    :ivar mixed: passes that began with different maps.
    """

    def __init__(
        self, size: int, pass_s: float, record: Callable[[str], None]
    ) -> None:
        self.pass_s = pass_s
        self.step = 100
        self.born = 1_788_078_915_000
        self.other_work = 3
        self.record = record
        self.wake = asyncio.Event()
        self.delay_of: Callable[[Rank, Order], float | None] = (
            lambda rank, order: None
        )
        self.on_order: Callable[[Rank, Order, str], None] = (
            lambda rank, order, outcome: None
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.ranks = [Rank(self, number) for number in range(size)]
        self.mixed: list[int] = []
        self.switches: list[int] = []
        self.last_pass_s = time.monotonic()
        self.orders = 0
        self.unanswered = 0

    async def start(self, fleet: small_fleet.Fleet) -> None:
        """Start the engines and their passes."""
        for rank in self.ranks:
            await rank.server.start(
                fleet.side_ip(rank.number), small_fleet.APP_PORT
            )
        self.tasks.add(asyncio.create_task(self._run_passes()))

    def stop(self) -> None:
        """Stop the engines."""
        for task in self.tasks:
            task.cancel()
        for rank in self.ranks:
            rank.server.stop()

    def note(self, rank: Rank, order: Order, outcome: str) -> None:
        """Record an order and what became of it."""
        if not outcome.startswith('carried'):
            self.orders += 1
            self.unanswered += outcome == 'no answer'
        shown = {key: value for key, value in order.items() if key != 'map'}
        self.record(f'rank {rank.number} order {shown}: {outcome}')
        self.on_order(rank, order, outcome)

    async def _run_passes(self) -> None:
        while True:
            await asyncio.sleep(self.pass_s)
            following = self.step + 1
            is_idle = not self.other_work and not any(
                rank.running for rank in self.ranks
            )
            if is_idle or any(rank.held == following for rank in self.ranks):
                continue
            self.step = following
            self.last_pass_s = time.monotonic()
            for rank in self.ranks:
                rank.begin(following)
            self._count(following)
            self._compare(following)
            self.wake.set()
            self.wake = asyncio.Event()

    def _count(self, step: int) -> None:
        turn = int(time.monotonic() / HOT_PERIOD_S)
        for rank in self.ranks:
            for number in range(SETS):
                first = (turn + number) * 5
                hot = {item % EXPERTS for item in range(first, first + HOT)}
                for expert in range(EXPERTS):
                    rank.counts[number * EXPERTS + expert] += (
                        200 if expert in hot else 10
                    )

    def _compare(self, step: int) -> None:
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1:
            self.mixed.append(step)
            if len(self.mixed) <= 3:
                self.record(
                    f'PASS {step} BEGINS WITH DIFFERENT MAPS: versions by '
                    f'rank {versions}'
                )
        elif not self.switches or versions[0] != self.switches[-1]:
            self.switches.append(versions[0])
            self.record(f'pass {step}: all ranks have map {versions[0]}')

    async def serve(
        self, rank: Rank, channel: http_peer.Channel, req: http_peer.Request
    ) -> None:
        """Answer a stream: an event a pass."""
        request_id = req.headers.get('x-request-id', '')
        if not request_id:
            await channel.answer(400, b'', {'X-Not-Executed': '1'})
            return
        rank.running += 1
        try:
            first = int(req.headers.get('last-event-id', 0)) + 1
            await self.wake.wait()
            self.record(f'rank {rank.number} runs {request_id}')
            await channel.send(
                b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
                b'Transfer-Encoding: chunked\r\nX-Request-Id: '
                + request_id.encode()
                + b'\r\nX-Engine-Signature: '
                + rank.name.encode()
                + b'\r\n\r\n'
            )
            for number in range(first, EVENTS + 1):
                event = b'id: %d\ndata: token %d\n\n' % (number, number)
                await channel.send(b'%x\r\n%s\r\n' % (len(event), event))
                await self.wake.wait()
            await channel.send(b'0\r\n\r\n')
        finally:
            rank.running -= 1
