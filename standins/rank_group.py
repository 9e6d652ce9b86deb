"""Fake of the engines of one group that step in lockstep.

All ranks share one process and one port; rank N has its engine API under
``/rank/N``. A step happens only while no rank is held or stalled. Each step
records the epoch of every rank; a step with two epochs counts as a violation.

``POST /faults`` injects faults from a JSON object: ``stalled`` (ranks that
neither step nor answer commands in time), ``slow`` (rank to factor) and
``ignore_fencing`` (engines check neither fencing tokens, nor whether a rank is
held when it activates a map, nor which epoch a release names).
``POST /popularity`` with ``{"seed": N}`` changes which experts are popular.
``GET /steps`` returns the counters of the group, and ``POST /steps/reset``
resets the longest pause.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import random
import time
from collections.abc import AsyncIterator
from typing import Any

from starlette import applications, requests, responses, routing

from . import serving

STEP_S = 0.005
TOKENS_PER_STEP = 4096
HALF_STALL_S = 0.5
"""Half the time for which a stalled rank delays its answer to a command. The
whole is longer than the time-outs of agents: 0.6 s to hold a rank, 0.8 s for
any command."""


@dataclasses.dataclass
class Rank:
    """Map state of the engine of one rank."""

    epoch: int = 1
    held: bool = False
    fencing: int = 0
    staged: set[int] = dataclasses.field(default_factory=lambda: {1})
    staging: set[int] = dataclasses.field(default_factory=set)
    busy_s: float = 0.0


@dataclasses.dataclass
class Faults:
    """Injected faults."""

    stalled: list[int] = dataclasses.field(default_factory=list)
    slow: dict[str, float] = dataclasses.field(default_factory=dict)
    ignore_fencing: bool = False


class RankGroup:
    """State of the fake and its HTTP handlers."""

    def __init__(
        self,
        ranks: int,
        experts: int,
        layers: int,
        slots: int,
        weights_per_s: float,
    ) -> None:
        self._ranks = [Rank() for _ in range(ranks)]
        self._experts = experts
        self._weights_per_s = weights_per_s
        layer = [
            [(rank * slots + slot) % experts for slot in range(slots)]
            for rank in range(ranks)
        ]
        self._maps: dict[int, list[list[list[int]]]] = {1: [layer] * layers}
        self._popularity: list[list[float]] = []
        self._draw_popularity(0)
        # Only the number of rows, one for each layer, is used.
        self._layer_rows = [[0.0] * experts for _ in range(layers)]
        self._token_counts: dict[tuple[int, int], dict[int, float]] = {}
        self._faults = Faults()
        self._step = 0
        self._violations: list[dict[str, Any]] = []
        self._steps_by_epoch: dict[int, int] = {}
        self._refused_count = 0
        self._store_lock = asyncio.Lock()
        self._background: set[asyncio.Task[None]] = set()
        self._reset_pauses()

    def app(self) -> applications.Starlette:
        """Return the ASGI application."""
        rank = '/rank/{rank:int}'
        return applications.Starlette(
            routes=[
                routing.Route('/load', self._get_load),
                routing.Route('/steps', self._get_steps),
                routing.Route(
                    '/steps/reset', self._reset_steps, methods=['POST']
                ),
                routing.Route('/faults', self._set_faults, methods=['POST']),
                routing.Route(
                    '/popularity', self._set_popularity, methods=['POST']
                ),
                routing.Route(f'{rank}/load', self._get_load),
                routing.Route(f'{rank}/map', self._get_map),
                routing.Route(f'{rank}/map/placement', self._get_placement),
                routing.Route(f'{rank}/experts', self._get_experts),
                routing.Route(
                    f'{rank}/map/{{order}}', self._order, methods=['POST']
                ),
            ],
            lifespan=self._lifespan,
        )

    @contextlib.asynccontextmanager
    async def _lifespan(
        self, _: applications.Starlette
    ) -> AsyncIterator[None]:
        self._start_task(self._run_steps())
        yield

    def _start_task(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _run_steps(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            if self._faults.stalled or any(r.held for r in self._ranks):
                continue
            self._run_step()

    def _run_step(self) -> None:
        now_s = time.monotonic()
        self._longest_pause_s = max(
            self._longest_pause_s, now_s - self._last_step_s
        )
        self._last_step_s = now_s
        self._step += 1
        epochs = [rank.epoch for rank in self._ranks]
        self._steps_by_epoch[max(epochs)] = (
            self._steps_by_epoch.get(max(epochs), 0) + 1
        )
        if len(set(epochs)) > 1:
            self._violations.append({'step': self._step, 'epochs': epochs})
        self._count_tokens(epochs[0])

    def _count_tokens(self, epoch: int) -> None:
        for number, layer in enumerate(self._maps[epoch]):
            popularity = self._popularity[number]
            replica_counts: dict[int, int] = {}
            for row in layer:
                for expert in row:
                    replica_counts[expert] = replica_counts.get(expert, 0) + 1
            for index, row in enumerate(layer):
                token_counts = self._token_counts.setdefault(
                    (index, number), {}
                )
                total = 0.0
                for expert in row:
                    if expert < 0:
                        continue
                    tokens = popularity[expert] / replica_counts[expert]
                    token_counts[expert] = (
                        token_counts.get(expert, 0.0) + tokens
                    )
                    total += tokens
                slow = self._faults.slow.get(str(index), 1.0)
                self._ranks[index].busy_s += total * slow * 1e-6

    async def _get_load(self, _: requests.Request) -> responses.Response:
        return _json(
            {'generation': 1, 'running': 0, 'queued': 0, 'uptime_s': 1.0}
        )

    async def _get_map(self, req: requests.Request) -> responses.Response:
        return _json(self._state(req.path_params['rank']))

    async def _get_placement(
        self, req: requests.Request
    ) -> responses.Response:
        epoch = self._ranks[req.path_params['rank']].epoch
        return _json({'placement': self._maps[epoch]})

    async def _get_experts(self, req: requests.Request) -> responses.Response:
        index = req.path_params['rank']
        layers = [
            [
                int(self._token_counts.get((index, number), {}).get(expert, 0))
                for expert in range(self._experts)
            ]
            for number in range(len(self._layer_rows))
        ]
        return _json({'layers': layers, 'busy_s': self._ranks[index].busy_s})

    async def _order(self, req: requests.Request) -> responses.Response:
        index = req.path_params['rank']
        if index in self._faults.stalled:
            await asyncio.sleep(HALF_STALL_S * 2)
        rank = self._ranks[index]
        fencing = int(req.query_params['fencing'])
        if not self._faults.ignore_fencing:
            if fencing < rank.fencing:
                return self._refuse(index)
            rank.fencing = fencing
        epoch = int(req.query_params.get('epoch', '0'))
        order = req.path_params['order']
        if order == 'stage':
            self._stage(rank, index, epoch, json.loads(await req.body()))
            return _json(self._state(index))
        # A step does not yield to the event loop, so every command takes
        # effect at a step boundary.
        if order == 'hold':
            rank.held = True
        elif order == 'activate':
            is_allowed = epoch in rank.staged and (
                rank.held or self._faults.ignore_fencing
            )
            if not is_allowed:
                return self._refuse(index)
            rank.epoch = epoch
        elif order == 'release':
            if rank.epoch != epoch and not self._faults.ignore_fencing:
                return self._refuse(index)
            rank.held = False
        return _json(self._state(index))

    def _stage(
        self, rank: Rank, index: int, epoch: int, placement: Any
    ) -> None:
        if epoch in rank.staged or epoch in rank.staging:
            return
        rank.staging.add(epoch)
        self._maps[epoch] = placement
        weights = sum(
            len(set(new[index]) - set(old[index]))
            for old, new in zip(self._maps[rank.epoch], placement, strict=True)
        )
        self._start_task(self._load_weights(rank, epoch, weights))

    async def _load_weights(
        self, rank: Rank, epoch: int, weights: int
    ) -> None:
        async with self._store_lock:
            await asyncio.sleep(weights / self._weights_per_s)
        rank.staging.discard(epoch)
        rank.staged.add(epoch)

    def _refuse(self, index: int) -> responses.Response:
        self._refused_count += 1
        return _json(self._state(index), 409)

    def _state(self, index: int) -> dict[str, Any]:
        rank = self._ranks[index]
        return {
            'epoch': rank.epoch,
            'staged': sorted(rank.staged),
            'held': rank.held,
            'step': self._step,
            'fencing': rank.fencing,
        }

    async def _get_steps(self, _: requests.Request) -> responses.Response:
        return _json(
            {
                'step': self._step,
                'violations': len(self._violations),
                'first_violation': next(iter(self._violations), None),
                'steps_by_epoch': self._steps_by_epoch,
                'epochs': [rank.epoch for rank in self._ranks],
                'held': [rank.held for rank in self._ranks],
                'staged': [sorted(rank.staged) for rank in self._ranks],
                'refused': self._refused_count,
                'longest_pause_s': max(
                    self._longest_pause_s,
                    time.monotonic() - self._last_step_s,
                ),
            }
        )

    async def _reset_steps(self, _: requests.Request) -> responses.Response:
        self._reset_pauses()
        return _json({})

    def _reset_pauses(self) -> None:
        self._last_step_s = time.monotonic()
        self._longest_pause_s = 0.0

    async def _set_faults(self, req: requests.Request) -> responses.Response:
        self._faults = dataclasses.replace(self._faults, **(await req.json()))
        return _json(dataclasses.asdict(self._faults))

    async def _set_popularity(
        self, req: requests.Request
    ) -> responses.Response:
        self._draw_popularity((await req.json())['seed'])
        return _json({})

    def _draw_popularity(self, seed: int) -> None:
        rng = random.Random(seed)
        layers = len(self._maps[1])
        self._popularity = []
        for _ in range(layers):
            weights = [1.0 / (n + 4) for n in range(self._experts)]
            rng.shuffle(weights)
            scale = TOKENS_PER_STEP / sum(weights)
            self._popularity.append([weight * scale for weight in weights])


def _json(document: Any, status: int = 200) -> responses.Response:
    return responses.Response(
        json.dumps(document), status, media_type='application/json'
    )


if __name__ == '__main__':
    parser = serving.parser(__doc__)
    parser.add_argument('--ranks', type=int, default=4)
    parser.add_argument('--experts', type=int, default=16)
    parser.add_argument('--layers', type=int, default=2)
    parser.add_argument('--slots', type=int, default=6)
    parser.add_argument('--weights-per-s', type=float, default=200.0)
    args = parser.parse_args()
    serving.run(
        lambda: RankGroup(
            args.ranks,
            args.experts,
            args.layers,
            args.slots,
            args.weights_per_s,
        ).app(),
        args.port,
    )
