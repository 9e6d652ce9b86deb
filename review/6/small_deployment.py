"""The store, the settings and the processes of a small deployment.

Ports are the same on all hosts, so that each host has an address of its own
in 127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

import peer_http as http

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
MODEL_SERVICE = 'svc-engines'
PLAIN_SERVICE = 'svc-records'
HOST_NAME = 'a.example'
KEY = 'key-1'
ENTRY_PORT = 8227
READINESS_PORT = 8220
STORE_PORT = 8223
ENGINE_PORT = 8228
START_S = 30.0
PAGE_BYTES = 1_048_576

BOUNDS = {
    'seed_lag_s': 3,
    'addr_reuse_s': 2,
    'stable_window_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'rollback_slack_ms': 250,
    'max_stretch_ms': 5000,
    'strict_revocation': True,
    'revoke_ms': 5000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'retry_budget_slack': 180,
    'cold_overage': 1.5,
    'cold_slack': 5,
    'evacuate_ms': 5000,
    'recovery_s': 12,
    'pass_ms': 120,
    'retry_after_s': 0,
    'stall_ms': 1500,
    'fencing_required': False,
}
"""Bounds of the site bojaor-flotta."""

LIMITS = {
    'cpu_share': 0.559,
    'cores': 1,
    'memory_mb': 222,
    'max_fds': 1535,
    'link_mbps': 350.0,
    'disk_mb': 0,
}
"""Limits of a front machine of the site bojaor-flotta."""

ENGINE_MODEL = {
    'slots': 6,
    'kv_capacity': 140000,
    'kv_token_bytes': 70272,
    'link_mbps': 92000.0,
    'stride': 4,
    'models': [{'name': 'm'}],
    'step_ms': 4.55,
    'per_seq_ms': 1.81,
    'context_per_k': 0.0366,
    'read_per_s': 61400.0,
    'pairs_per_m': 0.525,
    'chunk': 512,
    'report_lag_ms': 200.0,
    'usual': {'prompt': 835, 'answer': 97},
    'form_ms': 600.0,
}


class Record:
    """Writes what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._start_s = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line with the time since the start."""
        now_s = time.monotonic() - self._start_s
        print(f'{now_s:9.3f} {text}', file=self._file, flush=True)


def host_ips(count: int) -> list[str]:
    """Return loopback addresses on which the ports of a host are free."""
    found = []
    base = 10 + os.getpid() % 200
    number = 0
    while len(found) < count:
        number += 1
        ip = f'127.{base}.{number // 200}.{2 + number % 200}'
        if all(
            _is_free(ip, port)
            for port in (
                ENTRY_PORT,
                READINESS_PORT,
                STORE_PORT,
                ENGINE_PORT,
                9464,
            )
        ):
            found.append(ip)
    return found


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


class Store:
    """Stand-in of the platform's store: listings and watches of objects.

    A watch returns the last change of each object.
    """

    def __init__(self, ip: str) -> None:
        self._objects: dict[str, dict[str, bytes]] = {}
        self._history: list[tuple[int, str, str, bytes, bool]] = []
        self._revision = 10
        self._changed = asyncio.Event()
        self.server = http.Server(ip, STORE_PORT, self._answer)

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create or replace an object."""
        self.put_bytes(kind, name, json.dumps(spec).encode())

    def put_bytes(self, kind: str, name: str, spec: bytes) -> None:
        """Create or replace an object whose spec is given as it is sent."""
        self._revision += 1
        metadata = {
            'name': name,
            'revision': self._revision,
            'created': self._revision,
            'finalizers': [],
            'deleting': False,
        }
        item = b'{"metadata":%s,"spec":%s,"status":null}' % (
            json.dumps(metadata).encode(),
            spec,
        )
        self._objects.setdefault(kind, {})[name] = item
        self._note(kind, name, item, False)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._revision += 1
        item = self._objects[kind].pop(name)
        self._note(kind, name, item, True)

    def _note(self, kind: str, name: str, item: bytes, removed: bool) -> None:
        self._history.append((self._revision, kind, name, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(
        self,
        req: http.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        kind = req.path.rpartition('/')[2]
        query = req.query
        if req.method != 'GET' or not req.path.startswith('/objects/'):
            writer.write(http.answer(404))
        elif 'watch' in query:
            events = await self._watch(kind, query)
            self._send(writer, b'"events":[%s]' % b','.join(events))
        else:
            items, has_more = self._page(kind, query.get('after', ''))
            self._send(
                writer,
                b'"items":[%s],"has_more":%s'
                % (b','.join(items), b'true' if has_more else b'false'),
            )

    def _page(self, kind: str, after: str) -> tuple[list[bytes], bool]:
        """Return objects after a name, 1 MB or one object at most."""
        items: list[bytes] = []
        for name, item in sorted(self._objects.get(kind, {}).items()):
            if name <= after:
                continue
            if items and sum(map(len, items)) + len(item) > PAGE_BYTES:
                return items, True
            items.append(item)
        return items, False

    async def _watch(self, kind: str, query: dict[str, str]) -> list[bytes]:
        loop = asyncio.get_running_loop()
        since = int(query['watch'])
        end_s = loop.time() + int(query.get('wait_ms', 0)) / 1000
        while True:
            events = {
                name: b'{"object":%s,"removed":%s}'
                % (item, b'true' if removed else b'false')
                for revision, changed, name, item, removed in self._history
                if changed == kind and revision > since
            }
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return list(events.values())
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _send(self, writer: asyncio.StreamWriter, fields: bytes) -> None:
        writer.write(
            http.answer(
                200,
                b'{%s,"store_revision":%d}' % (fields, self._revision),
                Content_Type='application/json',
                Store_Era='1',
            )
        )


def manifest(version: int = 1, **timeouts_ms: int) -> dict[str, Any]:
    """Return a manifest with one route of each kind.

    :param timeouts_ms: time-out of a route, by name.
    """
    kinds = {
        'stream': ('streaming', MODEL_SERVICE, 8000, 503),
        'once': ('unsafe', PLAIN_SERVICE, 1013, 203),
        'safe': ('safe', PLAIN_SERVICE, 1010, 202),
    }
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{name}',
                'host': HOST_NAME,
                'path_prefix': f'/{name}/',
                'kind': kind,
                'timeout_ms': timeouts_ms.get(name, timeout_ms),
                'target_latency_ms': aim_ms,
                'priority': 1,
                'service': service,
                'max_attempts': 2,
                'public': False,
                'sticky': name == 'stream',
                'resumable': name == 'stream',
                'target_gap_ms': 120 if name == 'stream' else 0,
            }
            for name, (kind, service, timeout_ms, aim_ms) in kinds.items()
        ],
        'services': [
            {
                'name': MODEL_SERVICE,
                'health_path': '/healthz',
                'max_conns': 816,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 0.0,
                'cold_per_s': 0.0,
                'engine': ENGINE_MODEL,
            },
            {
                'name': PLAIN_SERVICE,
                'health_path': '/healthz',
                'max_conns': 200,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 0.0,
                'cold_per_s': 0.0,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'org-1', 'api_keys': [KEY], 'priority': 1}],
    }


def registration(service: str, ip: str, **fields: Any) -> dict[str, Any]:
    """Return the object that registers an engine."""
    return {
        'service': service,
        'address': f'{ip}:{ENGINE_PORT}',
        'zone': 'zone-1',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold_left_ms': 0,
        'born': int(time.time() * 1000) - 60_000,
        'seq': 1,
    } | fields


class Process:
    """One program of the deploy file, started with its command."""

    def __init__(
        self, program: str, ip: str, store: str, folder: str, **fields: Any
    ) -> None:
        """Write the settings; start nothing yet.

        :param fields: more settings, at the top level.
        """
        self._program = program
        self.ip = ip
        self._file = pathlib.Path(folder) / f'{program}-{ip}.toml'
        self._log = pathlib.Path(folder) / f'{program}-{ip}.log'
        self._process: subprocess.Popen | None = None
        is_entry = program == 'direct_entry'
        kind = 'front' if is_entry else 'side'
        rows = {
            'node_name': f'{kind}-{ip}',
            'role': 'entry' if is_entry else 'agent',
            'machine_class': kind,
            'serves': [kind],
            'ip': ip,
            'zone': 'zone-1',
            'region': 'region-1',
            'internal_ports': [7340, 7355],
            'seeds': [],
            'bootstrap': True,
            'heartbeat_ms': 1200,
        } | fields
        listen = (
            {
                'front': f'{ip}:{ENTRY_PORT}',
                'readiness': f'{ip}:{READINESS_PORT}',
            }
            if is_entry
            else {}
        )
        tables = {
            'zones': {'zone-1': 'region-1'},
            'listen': listen,
            'limits': LIMITS,
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': store,
                'form': 'objects',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'min_ttl_ms': 1000,
            },
        }
        lines = [
            f'{name} = {json.dumps(value)}' for name, value in rows.items()
        ]
        for table, fields_of in tables.items():
            lines.append(f'[{table}]')
            lines += [
                f'{name} = {json.dumps(value)}'
                for name, value in fields_of.items()
            ]
        self._file.write_text('\n'.join(lines) + '\n')

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        return self._process.pid

    def start(self) -> None:
        """Start the program as the deploy file does."""
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        } | {
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'WAGTAILHOLLOW_CONFIG': str(self._file),
        }
        with self._log.open('ab') as log:
            self._process = subprocess.Popen(
                ['python3', '-S', 'deploy/launch.py', self._program],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def returncode(self) -> int | None:
        """Return the exit status, None while the process runs."""
        return self._process.poll()

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text(errors='replace')

    def rss_mb(self) -> float:
        """Return the memory of the process."""
        with open(f'/proc/{self.pid}/status') as file:
            for line in file:
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """Kill the process, if it still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
        if self._process is not None:
            self._process.wait()

    async def wait_until_ready(self, timeout_s: float = START_S) -> bool:
        """Wait until readiness answers 200 twice; return whether it did."""
        end_s = time.monotonic() + timeout_s
        good = 0
        while time.monotonic() < end_s:
            found = await http.call(
                f'{self.ip}:{READINESS_PORT}',
                'GET',
                '/readyz',
                {'Host': self.ip},
                timeout_s=1.0,
            )
            good = good + 1 if found.status == 200 else 0
            if good >= 2:
                return True
            await asyncio.sleep(0.05)
        return False


def temporary_folder() -> tempfile.TemporaryDirectory:
    """Return a folder that is removed at the end of the script."""
    return tempfile.TemporaryDirectory(prefix='review-')


def caller_headers(request_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        'Host': HOST_NAME,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
        'X-Key': KEY,
    }


def stop_with(status: int, text: str) -> None:
    """Print the result and end the script."""
    print(text)
    sys.exit(status)
