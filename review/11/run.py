"""Case 11: a late release of a hold, and the same coordinator again."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

sys.dont_write_bytecode = True

import http_peer  # noqa: E402
import rank_group  # noqa: E402
import small_fleet  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FOLDER = pathlib.Path(__file__).resolve().parent
RANKS = 16
PASS_S = 0.06
LATE_S = 2.0
"""How late the orders are carried out that get no answer: 2 to 12 s."""

LATE_FOR_S = 2.3
"""How long one engine gives no answer to orders."""

LEAST_SWITCHES = 2
RUN_S = 60.0
AFTER_S = 5.5
RESET_AFTER_S = 0.05
RESET_S = 0.06


class Case:
    """One run."""

    def __init__(self) -> None:
        self._lines: list[str] = []
        self._start_s = time.monotonic()
        self.group = rank_group.RankGroup(RANKS, PASS_S, self.record)
        self.group.delay_of = self._delay_of
        self.group.on_order = self._note
        self.orders: list[tuple[float, bool]] = []
        self.go_s: float | None = None
        self._holder: rank_group.Rank | None = None

    def record(self, text: str) -> None:
        """Add a line to the record."""
        self._lines.append(f'{time.monotonic() - self._start_s:8.3f} {text}')

    def write(self) -> None:
        """Write the record."""
        (FOLDER / 'record.txt').write_text('\n'.join(self._lines) + '\n')

    def _delay_of(
        self, rank: rank_group.Rank, order: rank_group.Order
    ) -> float | None:
        """Return how late an order is carried out.

        From the release of a switch on, the engine that holds the group gives
        no answers to orders for some time.
        """
        if not TROUBLE:
            return None
        now_s = time.monotonic()
        if (
            self.go_s is None
            and order['op'] == 'go'
            and len(self.group.switches) >= LEAST_SWITCHES
            and all(item.armed is not None for item in self.group.ranks)
        ):
            self.go_s = now_s
            self._holder = rank
            self.record('TROUBLE: orders to this engine get no answer')
            asyncio.get_running_loop().call_later(
                RESET_AFTER_S, self._reset, rank
            )
        if (
            self.go_s is not None
            and rank is self._holder
            and now_s < self.go_s + LATE_FOR_S
        ):
            return LATE_S
        return None

    def _note(
        self, rank: rank_group.Rank, order: rank_group.Order, outcome: str
    ) -> None:
        if not outcome.startswith('carried'):
            self.orders.append((time.monotonic(), outcome != 'no answer'))

    def _reset(self, rank: rank_group.Rank) -> None:
        self.record(f'TROUBLE: channels of rank {rank.number} are reset')
        rank.reset_channels(RESET_S)


async def run() -> int:
    """Run the case; return the exit code."""
    case = Case()
    fleet = small_fleet.Fleet()
    store = http_peer.Store()
    try:
        await store.server.start(fleet.store_ip, http_peer.STORE_PORT)
        store.put(
            'config',
            'main',
            small_fleet.manifest(
                [
                    small_fleet.route(
                        'note', 'streaming', small_fleet.ENGINE_SERVICE
                    )
                ],
                rank_group.ENGINE,
            ),
        )
        await case.group.start(fleet)
        for rank in case.group.ranks:
            address = f'{fleet.side_ip(rank.number)}:{small_fleet.APP_PORT}'
            store.put(
                'servers',
                rank.name,
                small_fleet.registration(
                    small_fleet.ENGINE_SERVICE, address, 6
                ),
            )
            fleet.agent(rank.number).start()
        end_s = time.monotonic() + RUN_S
        while time.monotonic() < end_s:
            await asyncio.sleep(0.05)
            if case.go_s and time.monotonic() > case.go_s + AFTER_S:
                break
            if not TROUBLE and len(case.group.switches) >= LEAST_SWITCHES + 3:
                break
        group = case.group
        if case.go_s is not None:
            late = [item for item in case.orders if item[0] >= case.go_s]
            unanswered = sum(not is_answered for _, is_answered in late)
            case.record(
                f'of {len(late)} orders from the trouble on {unanswered} had '
                'no answer'
            )
        case.record(
            f'switches {len(group.switches)}, orders {group.orders}, without '
            f'an answer {group.unanswered}, passes with different maps '
            f'{len(group.mixed)}'
        )
        if len(group.switches) < LEAST_SWITCHES or (
            TROUBLE and case.go_s is None
        ):
            case.record('could not run: too few switches')
            return 2
        return 1 if group.mixed else 0
    finally:
        case.group.stop()
        store.server.stop()
        fleet.close()
        case.write()


if __name__ == '__main__':
    result = asyncio.run(run())
    print({0: 'held', 1: 'broken', 2: 'could not run'}[result])
    sys.exit(result)
