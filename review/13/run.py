"""Case 13: a late hold at the rank of a former coordinator."""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import sys
import time

sys.dont_write_bytecode = True
FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / '11'))

import http_peer  # noqa: E402
import rank_group  # noqa: E402
import small_fleet  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
RANKS = 8
PASS_S = 0.09
"""Time of a pass of sound engines under uneven demand."""

SLOW = 12.0
"""How many times longer the work of slow engines takes."""

SLOW_S = 9.0
WARM_UP_S = 5.0
LATE_S = 2.0
"""How late an order is carried out that gets no answer: 2 to 12 s."""

KILL_AFTER_S = 0.1
DARK_S = 3.5
"""When the agent is killed, and how long it is away."""

LAST_START_S = 0.8
"""Longest time from the begin of a pass to the first of these orders."""

AFTER_S = 50.0
CALL_PERIOD_S = 0.25
DEADLINE_MS = 8000


class PlainServer:
    """A server of the plain service, always sound."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.server = http_peer.HttpServer(self._handle)

    async def _handle(
        self, channel: http_peer.Channel, req: http_peer.Request
    ) -> None:
        request_id = req.headers.get('x-request-id', '')
        await asyncio.sleep(0.02)
        await channel.answer(
            200,
            f'read {request_id}'.encode(),
            {
                'X-Request-Id': request_id,
                'X-Engine-Signature': f'{self.name}.{request_id}',
            },
        )


class Case:
    """One run."""

    def __init__(self) -> None:
        self._lines: list[str] = []
        self._start_s = time.monotonic()
        self.group = rank_group.RankGroup(RANKS, PASS_S, self.record)
        self.group.delay_of = self._delay_of
        self.group.other_work = 0
        self.plain = PlainServer('i-records-0')
        self.is_slow = False
        self.is_counting = True
        self._late_order: rank_group.Order | None = None
        self.is_killed = False
        self.agents: list[small_fleet.Program] = []
        self.sent: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.statuses: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._numbers = iter(range(1, 1 << 30))
        self.tasks: set[asyncio.Task[None]] = set()

    def record(self, text: str) -> None:
        """Add a line to the record."""
        self._lines.append(f'{time.monotonic() - self._start_s:8.3f} {text}')

    def write(self) -> None:
        """Write the record."""
        (FOLDER / 'record.txt').write_text('\n'.join(self._lines) + '\n')

    def _delay_of(
        self, rank: rank_group.Rank, order: rank_group.Order
    ) -> float | None:
        """Return how late an order is carried out, None if at once.

        One order gets no answer: the first to hold a step. The agent that
        gave it is killed when it has given the order again.
        """
        now_s = time.monotonic()
        if not TROUBLE or not self.is_slow or order['op'] != 'hold':
            return None
        if self._late_order is None:
            if now_s > self.group.last_pass_s + LAST_START_S:
                return None
            self._late_order = order
            return LATE_S
        if order == self._late_order and not self.is_killed:
            self.is_killed = True
            asyncio.get_running_loop().call_later(
                KILL_AFTER_S, self._kill, rank.number
            )
        return None

    def _kill(self, number: int) -> None:
        self.record(f'TROUBLE: the agent of rank {number} is killed')
        self.agents[number].end()
        asyncio.get_running_loop().call_later(DARK_S, self._start, number)

    def _start(self, number: int) -> None:
        self.record(f'the agent of rank {number} is started again')
        self.agents[number].start()

    async def trouble(self) -> None:
        """Make the engines slow for some seconds."""
        if not TROUBLE:
            await asyncio.sleep(SLOW_S)
            return
        self.record(f'TROUBLE: engines are {SLOW} times slower')
        self.group.pass_s = PASS_S * SLOW
        self.is_slow = True
        await asyncio.sleep(SLOW_S)
        self.is_slow = False
        self.group.pass_s = PASS_S
        self.record('the trouble is over: all engines and orders are sound')

    async def calls(self, ip: str) -> None:
        """Send streams and reads for ever."""
        while True:
            for route in ('note', 'read'):
                self._start_call(ip, route)
            await asyncio.sleep(CALL_PERIOD_S)

    def _start_call(self, ip: str, route: str) -> None:
        self.tasks.add(asyncio.create_task(self._call(ip, route)))

    async def _call(self, ip: str, route: str) -> None:
        request_id = f'{next(self._numbers):016x}'
        is_counted = self.is_counting
        status, _, body = await small_fleet.answer_of(
            ip,
            small_fleet.FRONT_PORT,
            'POST' if route == 'note' else 'GET',
            f'/{route}/1',
            {
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(DEADLINE_MS),
                'X-Key': small_fleet.KEY,
                'X-Model': 'm',
                'X-Token-Usage': '835,96',
                'X-Prompt-Prefix': f'{request_id}:835',
            },
            b'{"n": 1}' if route == 'note' else b'',
            DEADLINE_MS / 1000,
        )
        if is_counted:
            self.sent[route] += 1
            self.served[route] += status == 200 and (
                route != 'note' or body.endswith(b'token 24\n\n')
            )
            self.statuses[route, status] += 1


async def run() -> int:
    """Run the case; return the exit code."""
    case = Case()
    fleet = small_fleet.Fleet()
    store = http_peer.Store()
    entry = fleet.entry()
    group = case.group
    try:
        await store.server.start(fleet.store_ip, http_peer.STORE_PORT)
        store.put(
            'config',
            'main',
            small_fleet.manifest(
                [
                    small_fleet.route(
                        'note', 'streaming', small_fleet.ENGINE_SERVICE
                    ),
                    small_fleet.route(
                        'read', 'safe', small_fleet.PLAIN_SERVICE
                    ),
                ],
                rank_group.ENGINE,
            ),
        )
        await group.start(fleet)
        for rank in group.ranks:
            address = f'{fleet.side_ip(rank.number)}:{small_fleet.APP_PORT}'
            store.put(
                'servers',
                rank.name,
                small_fleet.registration(
                    small_fleet.ENGINE_SERVICE, address, 6
                ),
            )
        await case.plain.server.start(fleet.plain_ip(0), small_fleet.APP_PORT)
        store.put(
            'servers',
            case.plain.name,
            small_fleet.registration(
                small_fleet.PLAIN_SERVICE,
                f'{fleet.plain_ip(0)}:{small_fleet.APP_PORT}',
                6,
            ),
        )
        entry.start()
        case.agents = [fleet.agent(rank.number) for rank in group.ranks]
        for agent in case.agents:
            agent.start()
        if not await small_fleet.wait_until_ready(entry):
            case.record('could not run: the entry is not ready')
            return 2
        case.tasks.add(asyncio.create_task(case.calls(entry.ip)))
        await asyncio.sleep(WARM_UP_S)
        await case.trouble()
        await asyncio.sleep(AFTER_S)
        case.is_counting = False
        await asyncio.sleep(DEADLINE_MS / 1000 + 0.5)
        silent_s = time.monotonic() - group.last_pass_s
        held = {r.number: r.held for r in group.ranks if r.held is not None}
        armed = {r.number: r.armed for r in group.ranks if r.armed}
        case.record(
            f'last pass {group.step}, {silent_s:.1f} s ago; held {held}, '
            f'armed {armed}'
        )
        case.record(
            f'orders {group.orders}, without an answer {group.unanswered}, '
            f'switches {len(group.switches)}, mixed {group.mixed}'
        )
        case.record(
            f'sent {dict(case.sent)}, served {dict(case.served)}, statuses '
            f'{dict(case.statuses)}'
        )
        if not case.sent['note'] or not case.served['read']:
            return 2
        if TROUBLE and not group.unanswered:
            case.record('could not run: no order to hold came in time')
            return 2
        shares = {
            route: case.served[route] / case.sent[route] for route in case.sent
        }
        mean = case.served.total() / case.sent.total()
        case.record(f'served shares {shares}, of all {mean:.3f}')
        return 1 if min(shares.values()) < mean / 4 else 0
    finally:
        for task in case.tasks:
            task.cancel()
        group.stop()
        store.server.stop()
        case.plain.server.stop()
        fleet.close()
        case.write()


if __name__ == '__main__':
    result = asyncio.run(run())
    print({0: 'held', 1: 'broken', 2: 'could not run'}[result])
    sys.exit(result)
