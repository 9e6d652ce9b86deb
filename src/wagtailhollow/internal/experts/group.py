"""Management of a group's expert map by the agent of one rank.

Each agent serves the commands to its own rank and recovers abandoned switch
rounds. The agent that holds the lease also plans, stages and switches maps.
"""

from __future__ import annotations

import asyncio
import json
import secrets

from absl import logging

from ... import errors
from ..daemon import lifecycle
from ..distribution import document
from ..settings import schema
from ..store import api, confirmed_put
from ..wire import codec, connection, pool
from ..wire.gen import ttypes
from . import engine, observation, placement, planner, switch
from . import lease as leases
from . import peers as group_peers
from . import rank as rank_acceptor

MAX_CANDIDATES = 3
"""How many of the lowest ranks of a group compete for the lease."""

LOAD_TIMEOUT_S = 2.0
STAGE_REQUEST_TIMEOUT_S = 1.0
STAGE_POLL_S = 0.2
STAGING_TIMEOUT_S = 120.0
ROUND_ATTEMPTS = 3


class SwitchNotConfirmed(Exception):
    """Not all ranks are known to run the new map; the next period tries again.

    Some ranks, or all, may have activated it already.
    """


def map_key(group: str) -> str:
    """Return the key of the map object of a group."""
    return f'groups/{group}/map'


class ExpertGroup:
    """Tasks and message handlers of one agent for its group."""

    def __init__(
        self,
        cfg: schema.AgentSettings,
        incarnation: int,
        store: api.ObjectStore,
        host_list: document.VersionedDocument,
        engine_control: engine.EngineControl,
        peer_pool: pool.PeerPool,
        handlers: connection.Handlers,
    ) -> None:
        self._group = cfg.group
        self._store = store
        self._engine = engine_control
        self._rank = rank_acceptor.RankAcceptor(
            cfg.group, cfg.rank, incarnation, engine_control
        )
        self._message_handlers = {
            ttypes.StageMap: self._rank.stage,
            ttypes.HoldRank: self._rank.hold,
            ttypes.ActivateMap: self._rank.activate,
            ttypes.ReleaseRank: self._rank.release,
            ttypes.ExpertLoadRequest: self._expert_load,
        }
        for message_type in self._message_handlers:
            handlers.on_request(message_type)(self._handle_peer)
        self._peer_pool = peer_pool
        self._peers = group_peers.GroupPeers(
            cfg.group, cfg.rank, host_list, peer_pool, self._handle_local
        )
        runner = switch.RoundRunner(self._peers, cfg.group, cfg.node)
        lease = leases.Lease(
            store,
            cfg.group,
            cfg.node,
            lambda: cfg.rank in self._peers.ranks[:MAX_CANDIDATES],
        )
        self._lease = lease
        self._runner = runner
        self._leader = MapLeader(
            cfg, store, engine_control, self._peers, lease, runner
        )
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all tasks."""
        self._tasks = [
            lifecycle.create_background_task(
                self._peers.fetch_hosts(self._store)
            ),
            lifecycle.create_background_task(self._recover_rounds()),
            lifecycle.create_background_task(self._lease.run()),
            lifecycle.create_background_task(self._leader.run()),
        ]

    async def stop(self) -> None:
        """Stop all tasks and close the connections to the peers."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._peer_pool.stop()

    async def _recover_rounds(self) -> None:
        await switch.recover_abandoned_rounds(
            self._rank, self._runner, self._peers.connected
        )

    async def _handle_peer(
        self, conn: connection.PeerConnection, message: codec.Message
    ) -> codec.Message:
        if conn.peer.role != ttypes.Role.AGENT:
            raise errors.Refusal(
                errors.ErrorKind.FORBIDDEN,
                'only agents may send commands to a rank',
            )
        return await self._handle_local(message)

    async def _handle_local(self, message: codec.Message) -> codec.Message:
        if message.group != self._group:
            raise errors.Refusal(
                errors.ErrorKind.BAD_REQUEST,
                f'this rank is in group {self._group}, not {message.group}',
            )
        return await self._message_handlers[type(message)](message)

    async def _expert_load(
        self, _: ttypes.ExpertLoadRequest
    ) -> ttypes.ExpertLoad:
        try:
            load = await self._engine.expert_load()
        except engine.EngineCommandError as exc:
            raise errors.Refusal(
                errors.ErrorKind.ENGINE_FAILED, str(exc)
            ) from exc
        return ttypes.ExpertLoad(
            self._rank.rank, [list(row) for row in load.layers], load.busy_s
        )


class MapLeader:
    """Plans, stages and switches maps while its agent holds the lease."""

    def __init__(
        self,
        cfg: schema.AgentSettings,
        store: api.ObjectStore,
        engine_control: engine.EngineControl,
        peers: group_peers.GroupPeers,
        lease: leases.Lease,
        runner: switch.RoundRunner,
    ) -> None:
        self._cfg = cfg
        self._group = cfg.group
        self._store = store
        self._engine = engine_control
        self._peers = peers
        self._lease = lease
        self._runner = runner
        self._load_collector = group_peers.LoadCollector(peers, cfg.group)
        self._planner = planner.PLANNERS[cfg.experts.planner](
            planner.Costs(
                weights_per_s=cfg.experts.weights_per_s,
                spare_slots=cfg.experts.spare_slots,
            )
        )

    async def run(self) -> None:
        """Plan once per period until cancelled."""
        while True:
            await asyncio.sleep(self._cfg.experts.plan_period_s)
            if self._lease.fencing is None:
                continue
            try:
                async with self._peers.connected():
                    await self._plan_once()
            except (
                SwitchNotConfirmed,
                api.Conflict,
                api.PlatformUnavailable,
                engine.EngineCommandError,
            ) as exc:
                logging.warning(
                    'change of the map of %s not completed: %r',
                    self._group,
                    exc,
                )
            except (KeyError, TypeError, ValueError):
                # A malformed map object or counters of an unexpected shape
                # must not end this loop.
                logging.exception(
                    'change of the map of %s not completed', self._group
                )

    async def _plan_once(self) -> None:
        stored = await self._stored_map()
        current = placement.from_json(await self._engine.current_map())
        state = await self._engine.map_state()
        if stored.value['epoch'] > state.epoch:
            # An earlier leader stored this map but did not switch to it.
            new = placement.from_json(stored.value['placement'])
            await self._switch(stored.value['epoch'], current, new)
            return
        layers, seconds = await self._load_collector.collect(LOAD_TIMEOUT_S)
        gaps = (None,) * len(current.layers)
        observed = observation.Observation(
            tuple(layers) if layers is not None else gaps, seconds
        )
        now_s = asyncio.get_running_loop().time()
        # Planning takes tens of milliseconds per layer, during which the event
        # loop has to keep relaying the streams of the agent's target.
        plan = await asyncio.to_thread(
            self._planner.plan, current, observed, now_s
        )
        if plan.slow_ranks:
            logging.warning(
                'ranks of %s are slow relative to their load: %s',
                self._group,
                plan.slow_ranks,
            )
        if plan.moves:
            epoch = stored.value['epoch'] + 1
            await self._store_map(epoch, plan.placement, stored.version)
            await self._switch(epoch, current, plan.placement)

    async def _stored_map(self) -> api.StoredObject:
        found = await self._store.get(map_key(self._group))
        if found is not None:
            return found
        state = await self._engine.map_state()
        current = placement.from_json(await self._engine.current_map())
        return await self._store_map(state.epoch, current, api.ABSENT)

    async def _store_map(
        self, epoch: int, new: placement.Placement, expected: int
    ) -> api.StoredObject:
        """Store the map unless its version changed.

        The version check ensures that an epoch has only one placement.
        """
        nonce = secrets.token_hex(8)
        value = {'epoch': epoch, 'placement': new.to_json(), 'nonce': nonce}
        return await confirmed_put.confirmed_put(
            self._store,
            map_key(self._group),
            value,
            expected,
            lambda found: found['nonce'] == nonce,
        )

    async def _switch(
        self, epoch: int, old: placement.Placement, new: placement.Placement
    ) -> None:
        await self._stage(epoch, old, new)
        reason = 'no valid lease'
        for _ in range(ROUND_ATTEMPTS):
            fencing = self._lease.fencing
            if fencing is None:
                break
            try:
                state = await self._engine.map_state()
                lower_bound = ttypes.Ballot(state.fencing, 0, '')
                await self._runner.run(lower_bound, fencing, epoch)
                logging.info('activated map %d of %s', epoch, self._group)
                return
            except switch.RoundFailed as exc:
                reason = str(exc)
        raise SwitchNotConfirmed(
            f'switch to map {epoch} not confirmed: {reason}'
        )

    async def _stage(
        self, epoch: int, old: placement.Placement, new: placement.Placement
    ) -> None:
        """Stage on one rank at a time, within the rate of the weight store."""
        message = json.dumps(new.to_json(), separators=(',', ':')).encode()
        deadline_s = asyncio.get_running_loop().time() + STAGING_TIMEOUT_S
        for rank in self._peers.ranks:
            await self._stage_rank(rank, epoch, message)
            weights = _rank_move_count(rank, old, new)
            await asyncio.sleep(weights / self._cfg.experts.weights_per_s)
        waiting = set(self._peers.ranks)
        while waiting:
            for rank in sorted(waiting):
                state = await self._stage_rank(rank, epoch, message)
                if state.staged_epoch >= epoch:
                    waiting.discard(rank)
            if not waiting:
                return
            if asyncio.get_running_loop().time() > deadline_s:
                raise SwitchNotConfirmed(
                    f'map {epoch} not staged on ranks {sorted(waiting)}'
                )
            await asyncio.sleep(STAGE_POLL_S)

    async def _stage_rank(
        self, rank: int, epoch: int, message: bytes
    ) -> ttypes.RankState:
        fencing = self._lease.fencing
        if fencing is None:
            raise SwitchNotConfirmed('the lease was lost while staging')
        state = await self._peers.request(
            rank,
            ttypes.StageMap(self._group, fencing, epoch, message),
            STAGE_REQUEST_TIMEOUT_S,
        )
        if state is None or not state.accepted:
            raise SwitchNotConfirmed(f'rank {rank} did not stage map {epoch}')
        return state


def _rank_move_count(
    rank: int, old: placement.Placement, new: placement.Placement
) -> int:
    """Return how many experts one rank loads to go to *new*."""
    return placement.moves_between(
        *(
            placement.Placement(
                tuple(
                    placement.LayerPlacement((layer.slots[rank],))
                    for layer in item.layers
                )
            )
            for item in (old, new)
        )
    )
