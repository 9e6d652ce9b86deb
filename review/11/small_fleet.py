"""Starts the programs of the deploy file on loopback addresses.

Ports are the same on all machines of a deployment, so each machine has a
loopback address of its own. Settings are those of a small deployment.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
APP_PORT = 8228
FRONT_PORT = 8227
READY_PORT = 8220
INTERNAL_PORT = 7340
STORE_ADDRESS_NUMBER = 2
HOST = 'review.example'
KEY = 'key-of-tenant-1'
ENGINE_SERVICE = 'engines'
PLAIN_SERVICE = 'records'

_BOUNDS = """
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 180
cold_overage = 1.5
cold_slack = 5
evacuate_ms = 5000
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
fencing_required = false
"""


def free_prefix() -> str:
    """Return the first three numbers of loopback addresses not in use."""
    rng = random.Random(os.getpid() ^ time.time_ns())
    while True:
        prefix = f'127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}'
        try:
            for number in (STORE_ADDRESS_NUMBER, 5, 10):
                with socket.socket() as sock:
                    sock.bind((f'{prefix}.{number}', FRONT_PORT))
        except OSError:
            continue
        return prefix


class Program:
    """One program of the deploy file as a separate process."""

    def __init__(
        self, fleet: Fleet, program: str, ip: str, settings: str
    ) -> None:
        self.ip = ip
        self._program = program
        self._fleet = fleet
        self._file = fleet.folder / f'{program}-{ip}.toml'
        self._file.write_text(settings)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with open(self._fleet.folder / f'{self.ip}.log', 'ab') as log:
            self._process = subprocess.Popen(
                ['python3', '-S', 'deploy/launch.py', self._program],
                cwd=ROOT,
                env=kept
                | {
                    'PYTHONPATH': 'target/deps',
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'WAGTAILHOLLOW_CONFIG': str(self._file),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self._process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            if self.is_running:
                self._process.kill()
            self._process.wait()

    def log(self) -> str:
        """Return what the process has written."""
        return (self._fleet.folder / f'{self.ip}.log').read_text('utf-8')


class Fleet:
    """The addresses, settings and processes of one run."""

    def __init__(self) -> None:
        self.prefix = free_prefix()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.store_ip = f'{self.prefix}.{STORE_ADDRESS_NUMBER}'
        self.programs: list[Program] = []

    def close(self) -> None:
        """End all processes and remove the temporary folder.

        The folder is kept if the variable KEEP is set.
        """
        for program in self.programs:
            program.end()
        if 'KEEP' in os.environ:
            print('kept', self.folder)
        else:
            shutil.rmtree(self.folder)

    def entry(self, memory_mb: int = 222, max_fds: int = 1535) -> Program:
        """Return an entry, which is not started yet."""
        ip = f'{self.prefix}.5'
        listen = (
            f'front = "{ip}:{FRONT_PORT}"\n'
            f'readiness = "{ip}:{READY_PORT}"\n'
            f'control = "{ip}:8229"\n'
        )
        return self._add(
            'direct_entry',
            ip,
            self._settings(
                'front', ip, '', listen, 0.559, memory_mb, max_fds, 350.0
            ),
        )

    def agent(self, number: int) -> Program:
        """Return the agent beside the engine of a rank, not started yet."""
        ip = self.side_ip(number)
        app = f'app = "{ip}:{APP_PORT}"\nservice = "{ENGINE_SERVICE}"\n'
        return self._add(
            'direct_agent',
            ip,
            self._settings('side', ip, app, '', 0.645, 168, 1124, 10.0),
        )

    def side_ip(self, number: int) -> str:
        """Return the address of the machine of a rank."""
        return f'{self.prefix}.{10 + number}'

    def plain_ip(self, number: int) -> str:
        """Return the address of a server of the plain service."""
        return f'{self.prefix}.{100 + number}'

    def _add(self, program: str, ip: str, settings: str) -> Program:
        result = Program(self, program, ip, settings)
        self.programs.append(result)
        return result

    def _settings(
        self,
        kind: str,
        ip: str,
        app: str,
        listen: str,
        cpu_share: float,
        memory_mb: int,
        max_fds: int,
        link_mbps: float,
    ) -> str:
        return (
            f'node_name = "{kind}-{ip}"\nrole = "my-{kind}"\n'
            f'machine_class = "{kind}"\nserves = ["{kind}"]\nip = "{ip}"\n'
            'zone = "zone-1"\nregion = "region-1"\n'
            f'internal_ports = [{INTERNAL_PORT}, {INTERNAL_PORT + 15}]\n'
            'seeds = []\nbootstrap = true\nloss_counts = false\n'
            'discovery = "platform"\nentry = "vip"\nheartbeat_ms = 1200\n'
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"engine","stream","tenants","places","platform","experts"]\n'
            f'{app}\n[zones]\nzone-1 = "region-1"\n\n[listen]\n{listen}\n'
            f'[limits]\ncpu_share = {cpu_share}\ncores = 1\n'
            f'memory_mb = {memory_mb}\nmax_fds = {max_fds}\n'
            f'link_mbps = {link_mbps}\ndisk_mb = 0\n{_BOUNDS}\n'
            f'[platform]\naddress = "{self.store_ip}:8223"\n'
            'form = "objects"\nwrites_per_s = 400\nreads_per_s = 2000\n'
            'history_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n'
        )


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the manifest."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 8000,
        'target_latency_ms': 500,
        'priority': 1,
        'service': service,
        'max_attempts': 2,
        'public': False,
        'sticky': kind == 'streaming',
        'resumable': kind == 'streaming',
        'target_gap_ms': 120 if kind == 'streaming' else None,
    } | fields


def manifest(
    routes: list[dict[str, Any]], engine: dict[str, Any] | None
) -> dict[str, Any]:
    """Return a manifest with both services and one tenant."""
    engines: dict[str, Any] = {
        'name': ENGINE_SERVICE,
        'health_path': '/healthz',
        'max_conns': 816,
        'cold_start_s': 3.0,
        'cold_per_s': 36.0,
    }
    if engine is not None:
        engines['engine'] = engine
    return {
        'version': 7,
        'routes': routes,
        'services': [
            engines,
            {
                'name': PLAIN_SERVICE,
                'health_path': '/healthz',
                'max_conns': 200,
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
        'tenants': [{'name': 'tenant-1', 'api_keys': [KEY]}],
    }


def registration(service: str, address: str, slots: int) -> dict[str, Any]:
    """Return the entry of a server in the store."""
    return {
        'service': service,
        'address': address,
        'zone': 'zone-1',
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'cold_left_ms': 0,
        'seq': 1,
        'born': 1_788_078_915_000,
    }


async def answer_of(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 8.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection and read the whole answer.

    The answer ends with its connection or has a length or chunks; status 0
    stands for a closed connection or a time-out without a whole answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            rows = {'Host': HOST, 'Content-Length': str(len(body))} | headers
            head = f'{method} {path} HTTP/1.1\r\n' + ''.join(
                f'{name}: {value}\r\n' for name, value in rows.items()
            )
            writer.write(head.encode() + b'\r\n' + body)
            return await _read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b''
    finally:
        if writer is not None:
            writer.transport.abort()


async def _read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head[:-4].split('\r\n')
    status = int(first.split(' ')[1])
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(':') for line in lines)
    }
    if headers.get('transfer-encoding') == 'chunked':
        parts = []
        while size := int(await reader.readuntil(b'\r\n'), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        return status, headers, b''.join(parts)
    size = int(headers.get('content-length', 0))
    return status, headers, await reader.readexactly(size)


async def wait_until_ready(entry: Program, timeout_s: float = 20.0) -> bool:
    """Wait until an entry says that it is ready."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        status, _, _ = await answer_of(
            entry.ip, READY_PORT, 'GET', '/readyz', {}, timeout_s=1.0
        )
        if status == 200:
            return True
        await asyncio.sleep(0.1)
    return False
