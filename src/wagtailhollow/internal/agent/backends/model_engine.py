"""Adapter to a model engine with an OpenAI-style HTTP API.

Besides completions the engine serves ``GET /v1/streams/<id>?offset=N``, which
resumes a stream, ``DELETE /v1/streams/<id>``, which cancels it, and
``GET /load``. It keeps a stream for a while after its reader disconnected.
"""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp

from ...experts import engine as expert_engine
from . import http_call, registry

MAP_COMMAND_TIMEOUT_S = 0.6
"""Time-out of the map requests other than activate and release. Shorter than
the time-out of a command from one agent to another."""

SETTLE_TIMEOUT_S = 10.0
"""Time-out of the commands that activate a map or release the rank. It is long
because the engine may still execute a command after a time-out, so that no
other command may be sent until then. An engine that does not answer for this
long has stopped its whole group."""

_TOO_MANY_REQUESTS = 429
_REFUSED = frozenset({_TOO_MANY_REQUESTS, 503})
"""Statuses of calls that the engine refused without starting them."""


@registry.backend('model_engine')
class ModelEngine:
    """Adapter to one model engine."""

    can_resume = True

    def __init__(self, url: str) -> None:
        self._http = http_call.TargetHttp(url)
        self._url = url.rstrip('/')

    async def start(
        self, call: registry.BackendCall
    ) -> registry.BackendAnswer:
        """See :meth:`registry.Backend.start`."""
        headers = {
            **call.headers,
            'x-request-id': call.call_id,
            'x-priority': str(call.priority),
        }
        answer = await self._http.open(
            call.method, call.path, headers, call.body
        )
        if answer.status >= 500 or answer.status == _TOO_MANY_REQUESTS:
            answer.discard()
            raise registry.BackendError(
                f'the engine answered with status {answer.status}',
                started=answer.status not in _REFUSED,
            )
        return _checked(answer, call.call_id)

    async def resume(
        self, call_id: str, offset: int
    ) -> registry.BackendAnswer:
        """See :meth:`registry.Backend.resume`."""
        path = f'/v1/streams/{call_id}?offset={offset}'
        answer = await self._http.open('GET', path, {}, None)
        if answer.status != 200:
            answer.discard()
            raise registry.BackendError(
                f'the engine no longer has the stream: status {answer.status}',
                started=True,
            )
        return _checked(answer, call_id)

    async def cancel(self, call_id: str) -> bool:
        """See :meth:`registry.Backend.cancel`."""
        with contextlib.suppress(
            aiohttp.ClientError, asyncio.TimeoutError, OSError
        ):
            async with self._http.session().delete(
                f'{self._url}/v1/streams/{call_id}',
                timeout=aiohttp.ClientTimeout(
                    total=http_call.SHORT_REQUEST_TIMEOUT_S
                ),
            ) as resp:
                # 404: the stream no longer exists at the engine.
                return resp.status in (200, 204, 404)
        return False

    async def load(self) -> registry.BackendLoad:
        """See :meth:`registry.Backend.load`."""
        row = await self._http.get_json('/load')
        return registry.BackendLoad(
            generation=int(row['generation']),
            running=int(row['running']),
            queued=int(row.get('queued', 0)),
            completed=int(row.get('completed', 0)),
            uptime_s=float(row.get('uptime_s', 0.0)),
            first_token_ms=float(row.get('first_token_ms', 0.0)),
            cached_prefixes=int(row.get('cached_prefixes', -1)),
        )

    async def map_state(self) -> expert_engine.EngineMapState:
        """See :meth:`expert_engine.EngineControl.map_state`."""
        return _parse_map_state(await self._call_map_api('GET', '/map'))

    async def expert_load(self) -> expert_engine.EngineExpertLoad:
        """See :meth:`expert_engine.EngineControl.expert_load`."""
        row = await self._call_map_api('GET', '/experts')
        return expert_engine.EngineExpertLoad(
            tuple(tuple(layer) for layer in row['layers']),
            float(row['busy_s']),
        )

    async def current_map(self) -> list[list[list[int]]]:
        """See :meth:`expert_engine.EngineControl.current_map`."""
        return (await self._call_map_api('GET', '/map/placement'))['placement']

    async def stage_map(
        self, epoch: int, placement: bytes, fencing: int
    ) -> None:
        """See :meth:`expert_engine.EngineControl.stage_map`."""
        await self._call_map_api(
            'POST',
            f'/map/stage?epoch={epoch}&fencing={fencing}',
            placement,
        )

    async def hold(self, fencing: int) -> expert_engine.EngineMapState:
        """See :meth:`expert_engine.EngineControl.hold`."""
        path = f'/map/hold?fencing={fencing}'
        return _parse_map_state(await self._call_map_api('POST', path))

    async def activate(
        self, epoch: int, fencing: int
    ) -> expert_engine.EngineMapState:
        """See :meth:`expert_engine.EngineControl.activate`."""
        path = f'/map/activate?epoch={epoch}&fencing={fencing}'
        return _parse_map_state(
            await self._call_map_api('POST', path, timeout_s=SETTLE_TIMEOUT_S)
        )

    async def release(
        self, epoch: int, fencing: int
    ) -> expert_engine.EngineMapState:
        """See :meth:`expert_engine.EngineControl.release`."""
        path = f'/map/release?epoch={epoch}&fencing={fencing}'
        return _parse_map_state(
            await self._call_map_api('POST', path, timeout_s=SETTLE_TIMEOUT_S)
        )

    async def close(self) -> None:
        """See :meth:`registry.Backend.close`."""
        await self._http.close()

    async def _call_map_api(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float = MAP_COMMAND_TIMEOUT_S,
    ) -> dict:
        try:
            async with self._http.session().request(
                method,
                self._url + path,
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as resp:
                if resp.status != 200:
                    raise expert_engine.EngineCommandError(
                        f'{path}: status {resp.status}'
                    )
                return await resp.json()
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise expert_engine.EngineCommandError(f'{path}: {exc!r}') from exc


def _parse_map_state(row: dict) -> expert_engine.EngineMapState:
    return expert_engine.EngineMapState(
        int(row['epoch']),
        tuple(row['staged']),
        bool(row['held']),
        int(row['step']),
        int(row.get('fencing', 0)),
    )


def _checked(
    answer: registry.BackendAnswer, call_id: str
) -> registry.BackendAnswer:
    """Return *answer* if its request id is that of the call.

    An engine that mixes up answers under load sends the id of the other call;
    such an answer must not reach the caller.

    :raises BackendError: the answer belongs to another call.
    """
    answered_id = answer.headers.get('x-request-id', call_id)
    if answered_id != call_id:
        answer.discard()
        raise registry.BackendError(
            f'the engine answered with the id of another call, {answered_id}',
            started=True,
        )
    return answer
