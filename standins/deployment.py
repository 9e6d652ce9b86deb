"""Starts a complete deployment on loopback, for tests and demos.

Each entry, agent and fake is a process of its own.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
PORT_RANGE = (10_000, 32_000)
MODEL = 'report-writer'
MODEL_SERVICE = 'reports'
PLAIN_SERVICE = 'orders'


def free_ports(count: int) -> list[int]:
    """Return *count* loopback ports that are free now.

    They lie below the ephemeral port range. An outgoing connection could take
    a port of that range before the process listens on it, or between a stop
    and the next start of the process.
    """
    result: list[int] = []
    while len(result) < count:
        port = random.randrange(*PORT_RANGE)
        if port in result:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(('127.0.0.1', port))
            result.append(port)
    return result


@dataclasses.dataclass
class Process:
    """One process of the deployment.

    :ivar url: base URL of its HTTP server.
    :ivar ready_path: path that answers 200 once the process has started.
    :ivar peer_address: ``host:port`` on which an entry or agent accepts peer
        connections; empty for fakes.
    """

    name: str
    argv: Sequence[str]
    url: str
    log_path: pathlib.Path
    ready_path: str
    peer_address: str = ''
    process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Return the process ID."""
        return self.process.pid

    def signal(self, number: int) -> None:
        """Send a signal unless the process has exited."""
        if self.process.returncode is None:
            os.kill(self.process.pid, number)

    def log_text(self) -> str:
        """Return the standard output and error output so far."""
        return self.log_path.read_text(errors='replace')


@dataclasses.dataclass(frozen=True)
class Shape:
    """Size and settings of a deployment.

    :ivar entries: number of entries per data centre.
    :ivar engines: number of model engines per data centre.
    :ivar plain: number of plain service instances per data centre.
    :ivar engine_options: command-line options of the fake model engines.
    :ivar organisations: columns of the organisations in the table, by name;
        the API key of an organisation is ``key-<name>``.
    :ivar service_columns: columns of the model service in the table.
    """

    data_centres: Sequence[str] = ('dc-a', 'dc-b', 'dc-c')
    entries: int = 1
    engines: int = 2
    plain: int = 1
    engine_options: Sequence[str] = ()
    organisations: Mapping[str, Mapping[str, Any]] = dataclasses.field(
        default_factory=lambda: {'council': {}, 'insurer': {}}
    )
    service_columns: Mapping[str, Any] = dataclasses.field(
        default_factory=dict
    )
    entry_settings: Mapping[str, Any] = dataclasses.field(default_factory=dict)
    agent_settings: Mapping[str, Any] = dataclasses.field(default_factory=dict)


def organisation_row(name: str, columns: Mapping[str, Any]) -> dict[str, Any]:
    """Return a table row whose API key is ``key-<name>``."""
    digest = hashlib.sha256(f'key-{name}'.encode()).hexdigest()
    return {'key_hashes': [digest], **columns}


class Deployment:
    """A running deployment, used as an asynchronous context manager."""

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self._folder = tempfile.TemporaryDirectory(prefix='wagtailhollow-')
        self.folder = pathlib.Path(self._folder.name)
        self.processes: dict[str, Process] = {}
        self.http: aiohttp.ClientSession | None = None
        self._host_rows: dict[str, dict[str, Any]] = {}
        self._ports: collections.deque[int] = collections.deque()

    async def __aenter__(self) -> Deployment:
        self.http = aiohttp.ClientSession()
        keys = {'keys': [{'id': 'k1', 'secret': 'not-a-real-secret-0001'}]}
        (self.folder / 'keys.json').write_text(json.dumps(keys))
        try:
            await self._start_all()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        await asyncio.gather(
            *(item.process.wait() for item in self.processes.values())
        )
        await self.http.close()
        self._folder.cleanup()

    @property
    def platform(self) -> Process:
        """Return the fake of the platform."""
        return self.processes['platform']

    def named(self, prefix: str) -> list[Process]:
        """Return the processes with a name prefix, sorted by name."""
        return [
            self.processes[name]
            for name in sorted(self.processes)
            if name.startswith(prefix)
        ]

    async def post(self, url: str, document: Any) -> Any:
        """Send a POST request with JSON and return the JSON response."""
        async with self.http.post(url, json=document) as resp:
            return await resp.json()

    async def get(self, url: str) -> Any:
        """Send a GET request and return the JSON response."""
        async with self.http.get(url) as resp:
            return await resp.json()

    async def faults(self, name: str, **faults: Any) -> None:
        """Set faults of a fake."""
        await self.post(f'{self.processes[name].url}/faults', faults)

    async def edit_table(self, changes: Mapping[str, Any]) -> int:
        """Merge columns into rows of the table; return its new version."""
        url = f'{self.platform.url}/v1/objects/config/table'
        async with self.http.get(url) as resp:
            found = await resp.json() if resp.status == 200 else None
        rows = dict(found['value']['rows']) if found else {}
        for key, columns in changes.items():
            rows[key] = {**rows.get(key, {}), **columns}
        condition = (
            {'If-Match': f'"{found["version"]}"'}
            if found
            else {'If-None-Match': '*'}
        )
        value = {'rows': rows, 'recent_changes': []}
        async with self.http.put(url, json=value, headers=condition) as resp:
            assert resp.status == 200, await resp.text()
            return (await resp.json())['version']

    async def set_host(self, name: str, **columns: Any) -> None:
        """Change columns of a process in the host list."""
        self._host_rows[name] = {**self._host_rows[name], **columns}
        await self.post(
            f'{self.platform.url}/admin/hosts', [self._host_rows[name]]
        )

    async def start(self, process: Process) -> None:
        """Start a process and wait until ``ready_path`` answers 200."""
        with process.log_path.open('ab') as log:
            process.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *process.argv,
                stdout=log,
                stderr=log,
                cwd=REPOSITORY,
                env={**os.environ, 'PYTHONPATH': f'{REPOSITORY}/src'},
            )
        self.processes[process.name] = process
        await self.wait_until_ok(process, process.ready_path)

    async def restart(self, name: str) -> None:
        """Start a process that was stopped or killed again."""
        await self.start(self.processes[name])

    async def kill(self, name: str) -> None:
        """Send SIGKILL and wait until the process has exited."""
        process = self.processes[name]
        process.signal(signal.SIGKILL)
        await process.process.wait()

    async def terminate(self, name: str, timeout_s: float = 60.0) -> int:
        """Send SIGTERM, wait for the exit and return the exit code."""
        process = self.processes[name]
        process.signal(signal.SIGTERM)
        return await asyncio.wait_for(process.process.wait(), timeout_s)

    async def wait_until_ok(
        self, process: Process, path: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Poll a path of a process until it answers 200."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        while asyncio.get_running_loop().time() < deadline_s:
            if process.process.returncode is not None:
                break
            with contextlib.suppress(aiohttp.ClientError, OSError):
                async with self.http.get(process.url + path) as resp:
                    if resp.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise AssertionError(
            f'{process.name}: {path} did not answer 200; output: '
            f'{process.log_text()}'
        )

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until all entries and agents are ready."""
        await asyncio.gather(
            *(
                self.wait_until_ok(item, '/readyz', timeout_s)
                for item in (*self.named('entry-'), *self.named('agent-'))
            )
        )

    def port(self) -> int:
        """Return a free port that this deployment has not used yet."""
        if not self._ports:
            self._ports.extend(free_ports(64))
        return self._ports.popleft()

    def fake(self, module: str, name: str, *options: str) -> Process:
        """Return a fake that is not started yet."""
        port = self.port()
        return Process(
            name,
            ['-m', f'standins.{module}', '--port', str(port), *options],
            f'http://127.0.0.1:{port}',
            self.folder / f'{name}.log',
            '/counts' if module == 'platform' else '/load',
        )

    def entry(self, name: str, data_centre: str) -> Process:
        """Return an entry that is not started yet."""
        return self._daemon('entry', name, data_centre, {})

    def agent(
        self,
        name: str,
        data_centre: str,
        service: str,
        backend: Process,
        **settings: Any,
    ) -> Process:
        """Return an agent beside *backend* that is not started yet."""
        is_model = service != PLAIN_SERVICE
        return self._daemon(
            'agent',
            name,
            data_centre,
            {
                'target': f'target-{name}',
                'service': service,
                'backend': {
                    'kind': 'model_engine' if is_model else 'plain_service',
                    'url': backend.url,
                    'models': [MODEL] if is_model else [],
                },
                **self.shape.agent_settings,
                **settings,
            },
        )

    def _daemon(
        self,
        role: str,
        name: str,
        data_centre: str,
        settings: Mapping[str, Any],
    ) -> Process:
        http, peers = self.port(), self.port()
        document = {
            'node': name,
            'data_centre': data_centre,
            'deployment': 'demo',
            'listen_http': f'127.0.0.1:{http}',
            'listen_peers': f'127.0.0.1:{peers}',
            'platform_url': self.platform.url,
            'peer_keys_file': str(self.folder / 'keys.json'),
            **(self.shape.entry_settings if role == 'entry' else {}),
            **settings,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(document))
        self._host_rows[name] = {
            'node': name,
            'role': role,
            'data_centre': data_centre,
            'address': f'127.0.0.1:{peers}',
            'target': document.get('target', ''),
            'service': document.get('service', ''),
            'group': document.get('group') or '',
            'rank': document.get('rank', -1),
        }
        return Process(
            name,
            ['-m', f'wagtailhollow.cli.{role}', '--settings', str(path)],
            f'http://127.0.0.1:{http}',
            self.folder / f'{name}.log',
            '/healthz',
            f'127.0.0.1:{peers}',
        )

    async def _start_all(self) -> None:
        shape = self.shape
        await self.start(self.fake('platform', 'platform'))
        await self.edit_table(
            {
                f'service/{MODEL_SERVICE}': {
                    'kind': 'model',
                    'models': [MODEL],
                    **shape.service_columns,
                },
                f'service/{PLAIN_SERVICE}': {'kind': 'plain'},
                **{f'data_centre/{name}': {} for name in shape.data_centres},
                **{
                    f'organisation/{name}': organisation_row(name, columns)
                    for name, columns in shape.organisations.items()
                },
            }
        )
        backends = [
            (f'{kind}-{data_centre}-{index}', module, data_centre, service)
            for data_centre in shape.data_centres
            for kind, module, service, count in (
                ('engine', 'engine', MODEL_SERVICE, shape.engines),
                ('plain', 'plain_service', PLAIN_SERVICE, shape.plain),
            )
            for index in range(count)
        ]
        await asyncio.gather(
            *(
                self._start_target(name, module, data_centre, service)
                for name, module, data_centre, service in backends
            ),
            *(
                self.start(
                    self.entry(f'entry-{data_centre}-{index}', data_centre)
                )
                for data_centre in shape.data_centres
                for index in range(shape.entries)
            ),
        )
        await self.post(
            f'{self.platform.url}/admin/hosts',
            list(self._host_rows.values()),
        )
        await self.wait_ready()

    async def _start_target(
        self, name: str, module: str, data_centre: str, service: str
    ) -> None:
        options = self.shape.engine_options if module == 'engine' else ()
        backend = self.fake(module, name, *options)
        await self.start(backend)
        await self.start(
            self.agent(f'agent-{name}', data_centre, service, backend)
        )
