"""Fake object store and engines of the users' platform, with a real entry.

They run in the process of the test and use the platform's published protocol
over loopback. Ports are the same on all hosts, so that each host needs an
address of its own in 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import dataclasses
import errno
import itertools
import json
import socket
from collections.abc import AsyncIterator, Iterable
from typing import Any

import aiohttp
from starlette import applications, requests, responses, routing

from wagtailhollow.internal.datagram import endpoint, messages
from wagtailhollow.internal.entry.direct import compose
from wagtailhollow.internal.platform import settings

from . import serving

_HOST_NUMBERS = itertools.count(2)
_RESERVATIONS: list[socket.socket] = []
RESERVATION_PORT = 7339
MODEL_SERVICE = 'svc-engines'
PLAIN_SERVICE = 'svc-records'
HOST_NAME = 'a.example'
API_KEY = 'key-1'
EVENT_COUNT = 8
DRIBBLE_PAUSE_S = 0.2
FLOOD_PAUSE_S = 0.002
HEAD_TO_CRASH_S = 0.02
ROUTE_TIMEOUT_MS = 3_000
INTERNAL_PORT = 7340
SIGNATURE_HEADER = 'x-engine-signature'


def unused_ip() -> str:
    """Return a loopback address that no other test run on this host uses."""
    return next(filter(_reserve, map(_loopback_ip, _HOST_NUMBERS)))


def _loopback_ip(number: int) -> str:
    return f'127.{1 + number // 62_500}.{number // 250 % 250}.{number % 250}'


def _reserve(ip: str) -> bool:
    """Reserve an address until the process ends; return whether it was free.

    Ports are the same on all hosts, so that two runs cannot share one.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.bind((ip, RESERVATION_PORT))
    except OSError as exc:
        sock.close()
        if exc.errno != errno.EADDRINUSE:
            raise
        return False
    _RESERVATIONS.append(sock)
    return True


class Server:
    """Serves a Starlette application in the running event loop."""

    def __init__(self, routes: Iterable[routing.Route], ip: str, port: int):
        self.address = f'{ip}:{port}'
        self._server = serving.server(
            applications.Starlette(routes=list(routes)), ip, port
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start listening."""
        self._task = asyncio.create_task(self._server.serve())
        while not self._server.started:
            await asyncio.sleep(0.005)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.should_exit = True
        self._server.force_exit = True
        await asyncio.gather(self._task, return_exceptions=True)

    def crash(self) -> None:
        """Refuse connections and abort the open ones, at once and for good."""
        for listener in self._server.servers:
            listener.close()
        for conn in list(self._server.server_state.connections):
            conn.transport.abort()


class ObjectStore:
    """Fake object store with watches and faults.

    :ivar mode: ``ok``, ``busy`` (answers 503), ``silent`` (never answers) or
        ``gone`` (the next watch gets 410, then ``ok`` again).
    """

    def __init__(self) -> None:
        self.mode = 'ok'
        self.calls = 0
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 10
        self._era = 1
        self._copy: tuple[Any, ...] = ()
        self._changed = asyncio.Event()
        self.server = Server(
            [routing.Route('/objects/{kind}', self._get)], unused_ip(), 8223
        )

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        self._revision += 1
        item = {
            'metadata': {'name': name, 'revision': self._revision},
            'spec': spec,
            'status': None,
        }
        self._objects.setdefault(kind, {})[name] = item
        self._record_change(kind, item, False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if a restored copy of the store has it."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self._revision += 1
        self._record_change(kind, item, True)

    def names(self, kind: str) -> set[str]:
        """Return the names of all objects of a kind."""
        return set(self._objects.get(kind, ()))

    def make_copy(self) -> None:
        """Keep a copy of the store, see :meth:`restore_copy`."""
        self._copy = copy.deepcopy(
            (self._objects, self._history, self._revision)
        )

    def restore_copy(self) -> None:
        """Come back from the copy: what was written since is lost."""
        self._objects, self._history, self._revision = copy.deepcopy(
            self._copy
        )
        self._era += 1

    def _record_change(
        self, kind: str, item: dict[str, Any], removed: bool
    ) -> None:
        self._history.append((self._revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _get(self, req: requests.Request) -> responses.Response:
        self.calls += 1
        kind = req.path_params['kind']
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        if self.mode == 'busy':
            return responses.Response(status_code=503)
        if 'watch' not in req.query_params:
            items = list(self._objects.get(kind, {}).values())
            return self._answer(items=items, has_more=False)
        if self.mode == 'gone' or (
            int(req.query_params['watch']) > self._revision
        ):
            self.mode = 'ok'
            return responses.Response(status_code=410)
        return await self._watch(kind, req.query_params)

    async def _watch(self, kind: str, query: Any) -> responses.Response:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query['wait_ms']) / 1000
        while True:
            events = [
                {'object': item, 'removed': removed}
                for revision, changed_kind, item, removed in self._history
                if changed_kind == kind and revision > int(query['watch'])
            ]
            left_s = end_s - loop.time()
            if self.mode == 'busy':
                return responses.Response(status_code=503)
            if (events or left_s <= 0) and self.mode == 'ok':
                return self._answer(events=events)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.01, min(left_s, 0.05))):
                    await self._changed.wait()

    def _answer(self, **fields: Any) -> responses.Response:
        return responses.JSONResponse(
            fields | {'store_revision': self._revision},
            headers={'store-era': str(self._era)},
        )


@dataclasses.dataclass
class ReceivedRequest:
    """A request that an engine received.

    :ivar received_s: loop time.
    :ivar behaviour: how the engine answers it.
    """

    request_id: str
    path: str
    headers: dict[str, str]
    body: bytes
    received_s: float
    behaviour: str
    disconnected: bool = False


FLOODS = {
    'empty lines': b'\n' * 16_000,
    'same event': b'id: 1\ndata: x\n\n' * 1_000,
    'events without id': b'data: x\n\n' * 1_600,
    'comments': b':\n\n' * 5_000,
}


class Engine:
    """Fake engine with a queue of behaviours.

    Each request takes the next of ``behaviours``: ``shed`` (503, not
    executed), ``fail`` (500), ``wrong`` (421), ``cut`` (the connection is
    aborted without an answer), ``break`` (it is aborted in the middle of an
    event of a stream), ``head`` (it is aborted after the head of one),
    ``torn`` (the stream ends in the middle of an event,
    but its framing is complete), ``hang`` (no answer until the client
    disconnects), ``bare`` (no signature header), ``busy`` (503 that does not
    say whether the call ran), ``dribble`` (after half of the events a stream
    sends a byte of a comment now and then), ``lines`` (the same with an empty
    line), or one of :data:`FLOODS` (a
    stream consists of these bytes and has no end).

    :ivar gap_s: time between two events of a stream.
    :ivar silence_before: further time before the event with a number.
    :ivar retry_after: value of Retry-After in answers with status 503, if any.
    :ivar is_leaving: whether all answers say that the engine is leaving.
    :ivar head_delay_s: time before the head of an answer; a request whose
        client disconnects in it is dropped.
    :ivar crash_part: part of a prompt on which the engine sends the head of a
        stream and then crashes, or empty.
    :ivar is_crashed: whether it has crashed.
    """

    def __init__(self, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.retry_after = ''
        self.is_leaving = False
        self.head_delay_s = 0.0
        self.crash_part = ''
        self.is_crashed = False
        self.behaviours: list[str] = []
        self.received: list[ReceivedRequest] = []
        self.gap_s = 0.0
        self.silence_before: dict[int, float] = {}
        self.server = Server(
            [
                routing.Route(
                    '/{path:path}', self._serve, methods=['GET', 'POST']
                )
            ],
            unused_ip(),
            8080,
        )

    def registration(self, **fields: Any) -> dict[str, Any]:
        """Return the object that registers the engine in the store."""
        return {
            'service': self.service,
            'address': self.server.address,
            'zone': 'dc-1',
            'version': 'v1',
            'slots': 6,
            'state': 'ready',
            'cold_left_ms': 0,
            'born': 1788078915000,
            'seq': 1,
        } | fields

    async def _serve(self, req: requests.Request) -> responses.Response:
        behaviour = self.behaviours.pop(0) if self.behaviours else 'ok'
        received = ReceivedRequest(
            req.headers['x-request-id'],
            req.scope['raw_path'].decode(),
            dict(req.headers),
            await req.body(),
            asyncio.get_running_loop().time(),
            behaviour,
        )
        self.received.append(received)
        echo = {'x-request-id': received.request_id}
        if self.is_leaving:
            echo['server-leaving'] = '1'
        if self.retry_after and behaviour in ('shed', 'busy'):
            echo['retry-after'] = self.retry_after
        if behaviour == 'shed':
            return responses.Response(
                status_code=503, headers=echo | {'x-not-executed': '1'}
            )
        if behaviour == 'wrong':
            return responses.Response(status_code=421, headers=echo)
        headers = echo | {
            SIGNATURE_HEADER: f'{self.name}.1',
            'x-engine-load': '1,0,6',
        }
        if behaviour == 'fail':
            return responses.Response(
                b'failed', status_code=500, headers=headers
            )
        if behaviour == 'busy':
            return responses.Response(
                b'busy', status_code=503, headers=headers
            )
        if behaviour == 'bare':
            return responses.Response(b'bare', headers=echo)
        if self.head_delay_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.head_delay_s):
                    await self._wait_for_disconnect(req, received)
                return responses.Response()
        if behaviour == 'hang':
            await self._wait_for_disconnect(req, received)
        if behaviour in ('cut', 'hang'):
            req.scope['abort_connection']()
            return responses.Response()
        if self.service == PLAIN_SERVICE:
            return responses.Response(
                f'answer to {received.path}'.encode(), headers=headers
            )
        return responses.StreamingResponse(
            self._events(req, received, behaviour),
            headers=headers,
            media_type='text/event-stream',
        )

    async def _wait_for_disconnect(
        self, req: requests.Request, received: ReceivedRequest
    ) -> None:
        while not await req.is_disconnected():
            await asyncio.sleep(0.01)
        received.disconnected = True

    async def _events(
        self, req: requests.Request, received: ReceivedRequest, behaviour: str
    ) -> AsyncIterator[bytes]:
        if behaviour == 'head':
            await asyncio.sleep(HEAD_TO_CRASH_S)
            req.scope['abort_connection']()
            return
        while behaviour in FLOODS:
            yield FLOODS[behaviour]
            await asyncio.sleep(FLOOD_PAUSE_S)
        prompt = received.headers.get('x-prompt-prefix', '')
        if self.crash_part and f'{self.crash_part}:' in prompt:
            await asyncio.sleep(HEAD_TO_CRASH_S)
            self.is_crashed = True
            self.server.crash()
            return
        first = int(received.headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENT_COUNT + 1):
            event = encoded_event(number)
            await asyncio.sleep(self.silence_before.get(number, 0.0))
            if behaviour in ('break', 'torn') and number == EVENT_COUNT // 2:
                yield event[:6]
                if behaviour == 'torn':
                    return
                req.scope['abort_connection']()
                return
            yield event
            while behaviour == 'dribble' and number == EVENT_COUNT // 2:
                yield b':'
                await asyncio.sleep(DRIBBLE_PAUSE_S)
            while behaviour == 'lines' and number == EVENT_COUNT // 2:
                yield b'\n\n'
                await asyncio.sleep(DRIBBLE_PAUSE_S)
            await asyncio.sleep(self.gap_s)


def encoded_event(number: int) -> bytes:
    """Return the event with a number; it is the same for all engines."""
    return f'id: {number}\ndata: token {number}\n\n'.encode()


STREAM = b''.join(map(encoded_event, range(1, EVENT_COUNT + 1)))


def manifest(
    version: int = 1,
    keys: Iterable[str] = (API_KEY,),
    timeout_ms: int = ROUTE_TIMEOUT_MS,
) -> dict[str, Any]:
    """Return a manifest with one route of each call kind."""
    kinds = {
        'stream': ('streaming', MODEL_SERVICE),
        'once': ('unsafe', PLAIN_SERVICE),
        'safe': ('safe', PLAIN_SERVICE),
    }
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': HOST_NAME,
                'path_prefix': f'/{name}/',
                'kind': kind,
                'timeout_ms': timeout_ms,
                'target_latency_ms': 500,
                'service': service,
                'max_attempts': 2,
                'public': name == 'safe',
                'resumable': name == 'stream',
                'target_gap_ms': 120,
            }
            for name, (kind, service) in kinds.items()
        ],
        'services': [{'name': MODEL_SERVICE}, {'name': PLAIN_SERVICE}],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 65536,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'org-1', 'api_keys': list(keys)}],
    }


def host_settings(store: str, ip: str, **fields: Any) -> dict[str, Any]:
    """Return the settings that the platform gives an entry process."""
    bounds = {
        'revoke_ms': 2500,
        'strict_revocation': True,
        'retry_budget_ratio': 0.2,
        'retry_budget_slack': 180,
        'budget_window_s': 10,
        'cold_overage': 1.5,
        'cold_slack': 5,
        'grace_s': 8,
        'stall_ms': 1500,
    }
    return {
        'node_name': f'host-{ip}',
        'ip': ip,
        'zone': 'dc-1',
        'region': 'region-1',
        'zones': {'dc-1': 'region-1'},
        'internal_ports': [INTERNAL_PORT, INTERNAL_PORT + 15],
        'listen': {'front': f'{ip}:8227', 'readiness': f'{ip}:8220'},
        'platform': {'address': store},
        'bounds': bounds | fields,
    }


class DirectDeployment:
    """An object store, engines of two services, and entries.

    :ivar ip: address of the first entry.
    """

    def __init__(
        self,
        engines: int = 2,
        entries: int = 1,
        timeout_ms: int = ROUTE_TIMEOUT_MS,
    ) -> None:
        """Create the parts.

        :param engines: number of engines of each service.
        :param timeout_ms: time-out of all routes.
        """
        self._timeout_ms = timeout_ms
        self.store = ObjectStore()
        self.engines = [
            Engine(f'i-{service}-{number}', service)
            for service in (MODEL_SERVICE, PLAIN_SERVICE)
            for number in range(1, engines + 1)
        ]
        self.ips = [unused_ip() for _ in range(entries)]
        self.ip = self.ips[0]
        self.entries: list[compose.DirectEntry] = []
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> DirectDeployment:
        """Start all parts and wait until the entry is ready."""
        await self.store.server.start()
        document = manifest(timeout_ms=self._timeout_ms)
        self.store.put('config', 'main', document)
        for engine in self.engines:
            await engine.server.start()
            self.store.put('servers', engine.name, engine.registration())
        for ip in self.ips:
            await self.start_entry(ip)
        self.session = aiohttp.ClientSession(auto_decompress=False)
        for ip in self.ips:
            await self.wait_until_ready(ip)
        return self

    @property
    def entry(self) -> compose.DirectEntry:
        """Return the first entry."""
        return self.entries[0]

    @entry.setter
    def entry(self, entry: compose.DirectEntry) -> None:
        self.entries[0] = entry

    async def start_entry(self, ip: str) -> None:
        """Start an entry without waiting until it is ready."""
        row = host_settings(self.store.server.address, ip)
        entry = compose.DirectEntry(settings.decode(row))
        self.entries.append(entry)
        await entry.start()

    async def wait_until_ready(self, ip: str) -> None:
        """Wait until the entry at an address serves calls."""
        async with asyncio.timeout(5):
            while await self.readiness(ip) != 200:
                await asyncio.sleep(0.02)

    async def list_entries(self) -> None:
        """Tell all entries of each other, as an agent does."""
        agent = endpoint.Endpoint(messages.MESSAGE_TYPES)
        await agent.open(unused_ip(), INTERNAL_PORT)
        message = messages.EntryList(ips=endpoint.pack_ips(self.ips))
        agent.send(message, self.ips, INTERNAL_PORT)
        await asyncio.sleep(0.05)
        agent.close()

    async def __aexit__(self, *exc: object) -> None:
        """Stop all parts."""
        await self.session.close()
        for entry in self.entries:
            await entry.stop()
        for engine in self.engines:
            await engine.server.stop()
        await self.store.server.stop()

    def engines_of(self, service: str) -> list[Engine]:
        """Return the engines of a service."""
        return [item for item in self.engines if item.service == service]

    def set_behaviours(self, service: str, *behaviours: str) -> None:
        """Set the queued behaviours of each engine of a service."""
        for engine in self.engines_of(service):
            engine.behaviours = list(behaviours)

    def request_count(self, service: str) -> int:
        """Return the number of requests to the engines of a service."""
        return sum(len(engine.received) for engine in self.engines_of(service))

    async def readiness(self, ip: str = '') -> int:
        """Return the HTTP status of an entry's readiness path."""
        url = f'http://{ip or self.ip}:8220/readyz'
        async with self.session.get(url) as resp:
            return resp.status

    def call(
        self,
        route: str,
        request_id: str = 'r1',
        key: str = API_KEY,
        path: str = 'p',
        ip: str = '',
        **headers: str,
    ):
        """Send a caller's request; use as a context manager.

        :param ip: address of the entry, the first one if it is empty.
        """
        return self.session.post(
            f'http://{ip or self.ip}:8227/{route}/{path}',
            data=json.dumps({'n': 1}),
            headers={
                'Host': HOST_NAME,
                'X-Request-Id': request_id,
                'X-Key': key,
                'X-Deadline-Ms': '2500',
            }
            | {name.replace('_', '-'): text for name, text in headers.items()},
        )
