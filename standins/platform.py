"""Fake of the platform: versioned objects with watches, and the host list.

``POST /faults`` sets faults from a JSON object: ``down`` (every call answers
503), ``delay_s`` (delay of each call), ``lose_answers`` (number of writes that
take effect but answer 500), ``mute_answers`` (number of writes that take
effect but are not answered before clients time out), ``freeze_hosts`` (the
host list stops changing), ``mute_watches`` (watches never answer, while other
calls do) and ``down_after_write`` (``down`` is set with the next write, which
is still answered, before any watch reports it).
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import time
from typing import Any

from starlette import applications, requests, responses, routing

from . import serving

MUTE_DELAY_S = 30.0
"""Longer than the timeout of every client."""


@dataclasses.dataclass
class Faults:
    """Active faults; see the module's docstring."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    mute_answers: int = 0
    freeze_hosts: bool = False
    mute_watches: bool = False
    down_after_write: bool = False


class Platform:
    """State of the fake and its HTTP handlers."""

    def __init__(self) -> None:
        self._revision = 0
        self._objects: dict[str, tuple[int, Any]] = {}
        self._hosts: dict[str, dict[str, Any]] = {}
        self._served_hosts: tuple[int, list[dict[str, Any]]] = (1, [])
        self._changed = asyncio.Event()
        self._faults = Faults()
        self._counts: collections.Counter[str] = collections.Counter()
        self._history: list[dict[str, Any]] = []

    def app(self) -> applications.Starlette:
        """Return the ASGI application."""
        key = '{key:path}'
        return applications.Starlette(
            routes=[
                routing.Route('/v1/objects', self._list),
                routing.Route(
                    f'/v1/objects/{key}',
                    self._object,
                    methods=['GET', 'PUT', 'DELETE'],
                ),
                routing.Route(f'/v1/watch/{key}', self._watch),
                routing.Route('/v1/hosts', self._get_hosts),
                routing.Route(
                    '/admin/hosts', self._put_hosts, methods=['POST']
                ),
                routing.Route('/faults', self._set_faults, methods=['POST']),
                routing.Route('/counts', self._get_counts),
                routing.Route('/history', self._get_history),
            ]
        )

    async def _object(self, req: requests.Request) -> responses.Response:
        self._counts[req.method.lower()] += 1
        if failed := await self._apply_faults():
            return failed
        key = req.path_params['key']
        if req.method == 'GET':
            return self._get(key, req.headers.get('if-none-match'))
        version = self._objects.get(key, (0, None))[0]
        if not _condition_holds(req, version):
            return _json({'version': version}, 412)
        self._revision += 1
        if req.method == 'PUT':
            self._objects[key] = (self._revision, await req.json())
        else:
            self._objects.pop(key, None)
        self._history.append(
            {'key': key, 'version': self._revision, 'time': time.time()}
        )
        if self._faults.down_after_write:
            self._faults.down_after_write = False
            self._faults.down = True
        self._notify_watches()
        if self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            return _json({'error': 'answer lost'}, 500)
        if self._faults.mute_answers > 0:
            self._faults.mute_answers -= 1
            await asyncio.sleep(MUTE_DELAY_S)
        return _json({'version': self._revision})

    def _get(self, key: str, known: str | None) -> responses.Response:
        if key not in self._objects:
            return _json({'error': 'not found'}, 404)
        version, value = self._objects[key]
        if known == f'"{version}"':
            return responses.Response(status_code=304)
        return _json({'key': key, 'version': version, 'value': value})

    async def _list(self, req: requests.Request) -> responses.Response:
        self._counts['list'] += 1
        if failed := await self._apply_faults():
            return failed
        prefix = req.query_params['prefix']
        rows = [
            {'key': key, 'version': version, 'value': value}
            for key, (version, value) in sorted(self._objects.items())
            if key.startswith(prefix)
        ]
        return _json({'objects': rows})

    async def _watch(self, req: requests.Request) -> responses.Response:
        self._counts['watch'] += 1
        key = req.path_params['key']
        after = int(req.query_params['after'])
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + float(req.query_params['timeout'])
        while loop.time() < deadline_s:
            if failed := await self._apply_faults():
                return failed
            is_newer = self._objects.get(key, (0, None))[0] > after
            if is_newer and not self._faults.mute_watches:
                return self._get(key, None)
            try:
                async with asyncio.timeout_at(deadline_s):
                    await self._changed.wait()
            except TimeoutError:
                break
        while self._faults.mute_watches:
            await self._changed.wait()
        return responses.Response(status_code=304)

    async def _get_hosts(self, req: requests.Request) -> responses.Response:
        self._counts['hosts'] += 1
        if failed := await self._apply_faults():
            return failed
        if not self._faults.freeze_hosts:
            rows = sorted(self._hosts.values(), key=lambda row: row['node'])
            if rows != self._served_hosts[1]:
                self._served_hosts = (self._served_hosts[0] + 1, rows)
        revision, rows = self._served_hosts
        if req.headers.get('if-none-match') == f'"{revision}"':
            return responses.Response(status_code=304)
        return _json({'revision': revision, 'hosts': rows})

    async def _put_hosts(self, req: requests.Request) -> responses.Response:
        """Add or replace host rows; ``"gone": true`` in a row removes it."""
        for row in await req.json():
            if row.pop('gone', False):
                self._hosts.pop(row['node'], None)
            else:
                self._hosts[row['node']] = row
        return _json({})

    async def _set_faults(self, req: requests.Request) -> responses.Response:
        self._faults = dataclasses.replace(self._faults, **(await req.json()))
        self._notify_watches()
        return _json(dataclasses.asdict(self._faults))

    async def _get_counts(self, req: requests.Request) -> responses.Response:
        return _json(dict(self._counts))

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _get_history(self, req: requests.Request) -> responses.Response:
        """Return the key, version and Unix time of each write."""
        return _json(self._history)

    async def _apply_faults(self) -> responses.Response | None:
        if self._faults.delay_s:
            await asyncio.sleep(self._faults.delay_s)
        if self._faults.down:
            return _json({'error': 'down'}, 503)
        return None


def _condition_holds(req: requests.Request, version: int) -> bool:
    if req.headers.get('if-none-match') == '*':
        return version == 0
    return req.headers.get('if-match') == f'"{version}"'


def _json(document: Any, status: int = 200) -> responses.Response:
    return responses.Response(
        json.dumps(document), status, media_type='application/json'
    )


if __name__ == '__main__':
    args = serving.parser(__doc__).parse_args()
    serving.run(lambda: Platform().app(), args.port)
