"""Fault soak of the direct entry: ``python -m proof.direct_soak --seed N``.

Entries run as processes; a stand-in store, engines and callers run in this
one, over loopback. Faults come in overlapping series that follow from the
seed: signals to entries, outages of the store, faulty answers, engines that
leave, a part of a prompt that crashes engines, new manifests, objects of other
writers. Callers keep
their connections until the process is gone. What callers and engines see is
checked against the promises of the platform's rules.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import functools
import os
import pathlib
import random
import signal
import sys
import tempfile
import types
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Iterable,
    Iterator,
    Mapping,
)

import aiohttp
from absl import app, flags

from standins import direct_deployment
from wagtailhollow.internal.datagram import endpoint, messages

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SEED = flags.DEFINE_integer('seed', 1, 'First seed.')
_RUNS = flags.DEFINE_integer('runs', 1, 'Number of runs, one seed each.')
_SECONDS = flags.DEFINE_float('seconds', 20.0, 'Time of the faults of a run.')

ENTRIES = 3
ENGINES = 4
CALLERS = 12
DRAIN_S = 2.0
"""Bound for calls to a leaving engine, as the rules set it."""

SETTLE_S = 3.0
"""Time after a crash, a start or a signal in which calls may still crash
engines."""

CRASHES_BEFORE = 5
CALLS_AFTER = 3
"""At most so many calls with a part that crashes engines may reach them later
than :data:`SETTLE_S` after that many crashes."""

CRASH_PART = 'dead'
LARGE_VALUE = [[[]]] * 50_000
_NOT_RUN = frozenset({408, 421, 429, 503})
_BEHAVIOURS = ('shed', 'fail', 'cut', 'break', 'torn', 'bare', 'busy', 'head')
_EXECUTING = frozenset({'ok', 'fail', 'cut', 'bare', 'busy'})


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What a caller saw of one call.

    :ivar status: 0 if the connection closed without an answer.
    :ivar ended_s: loop time.
    """

    request_id: str
    route: str
    entry: str
    sent_s: float
    ended_s: float
    status: int
    body: bytes = b''
    is_complete: bool = False
    is_leaving: bool = False
    target: str = ''


class EntryProcess:
    """An entry as a process."""

    def __init__(
        self,
        store: str,
        folder: pathlib.Path,
        limits: Mapping[str, float] = types.MappingProxyType({}),
    ) -> None:
        """Write the settings of a program that has not started.

        :param limits: limits of the host, by their names in the settings.
        """
        self.ip = direct_deployment.unused_ip()
        self._file = folder / f'{self.ip}.toml'
        self._log = folder / f'{self.ip}.log'
        rows = direct_deployment.host_settings(store, self.ip)
        rows['limits'] = dict(limits)
        self._file.write_text('\n'.join(_toml_lines(rows)))
        self._process: asyncio.subprocess.Process | None = None
        self._starting = asyncio.Lock()

    @property
    def log(self) -> str:
        """Return what the process has written."""
        return self._log.read_text() if self._log.exists() else ''

    async def start(self) -> None:
        """Start the program."""
        with self._log.open('a') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'wagtailhollow.cli.direct_entry',
                '--settings',
                str(self._file),
                stdout=log,
                stderr=log,
                env=os.environ | {'PYTHONPATH': str(_ROOT / 'src')},
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    async def restart(
        self, number: signal.Signals, again_after_s: Iterable[float] = ()
    ) -> None:
        """End the program by a signal and start it again.

        Series overlap: one signal ends the program, and it is started once.

        :param again_after_s: pauses after which the signal is repeated while
            the program goes on.
        """
        process = self._process
        self.signal(number)
        for pause_s in again_after_s:
            await asyncio.sleep(pause_s)
            if process.returncode is None:
                process.send_signal(number)
        await process.wait()
        async with self._starting:
            if self._process is process:
                await self.start()

    def peak_bytes(self) -> int:
        """Return the most memory that the program has had resident."""
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        (line,) = [x for x in status.splitlines() if x.startswith('VmHWM:')]
        return int(line.split()[1]) * 1024

    def open_files(self) -> int:
        """Return how many file descriptors the program has open."""
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    @property
    def is_running(self) -> bool:
        """Return whether the program has not ended since its start."""
        return self._process.returncode is None

    async def wait(self) -> None:
        """Wait until the program has ended."""
        await self._process.wait()

    async def wait_until_ready(self) -> None:
        """Wait until the program is ready for calls."""
        async with aiohttp.ClientSession() as session, asyncio.timeout(30):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    url = f'http://{self.ip}:8220/readyz'
                    async with session.get(url) as resp:
                        if resp.status == 200:
                            return
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Kill the program."""
        self.signal(signal.SIGKILL)
        await self._process.wait()


def _toml_lines(rows: dict[str, object], path: str = '') -> Iterator[str]:
    tables = {k: v for k, v in rows.items() if isinstance(v, dict)}
    for key in rows.keys() - tables.keys():
        value = rows[key]
        text = str(value).lower() if isinstance(value, bool) else repr(value)
        yield f'{key} = {text}'
    for key, table in tables.items():
        name = f'{path}{key}'
        yield f'[{name}]'
        yield from _toml_lines(table, f'{name}.')


class Soak:
    """One run; see the module."""

    def __init__(self, seed: int, seconds: float) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._store = direct_deployment.ObjectStore()
        self._engines: list[direct_deployment.Engine] = []
        self._all_engines: list[direct_deployment.Engine] = []
        self._entries: list[EntryProcess] = []
        self._outcomes: list[Outcome] = []
        self._disturbed: dict[str, list[float]] = collections.defaultdict(list)
        self._crashed_s: list[float] = []
        self._version = 1
        self._numbers = iter(range(1, sys.maxsize))
        self._is_over = False

    async def run(self) -> list[str]:
        """Run the soak; return the broken promises."""
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            await self._start(folder)
            tasks = [
                asyncio.create_task(work)
                for work in (
                    self._list_entries(),
                    self._notice_crashes(),
                    *(self._call_repeatedly() for _ in range(CALLERS)),
                )
            ]
            try:
                await self._inject_faults()
                self._is_over = True
                await asyncio.wait(tasks, timeout=10)
            finally:
                for task in tasks:
                    task.cancel()
                results = await asyncio.gather(*tasks, return_exceptions=True)
                await self._stop()
            errors = [
                f'the soak failed: {item!r}'
                for item in results
                if isinstance(item, Exception)
            ]
            logged = [
                f'{entry.ip} logged an unexpected exception'
                for entry in self._entries
                if 'unexpected exception' in entry.log
            ]
        return errors + logged + list(self._broken_promises())

    @property
    def calls(self) -> int:
        """Return the number of calls that were made."""
        return len(self._outcomes)

    @property
    def crashes(self) -> int:
        """Return the number of engines that crashed."""
        return len(self._crashed_s)

    def served(self) -> float:
        """Return the share of calls that were answered with 200, whole."""
        return sum(
            item.status == 200 and item.is_complete for item in self._outcomes
        ) / max(1, self.calls)

    async def _start(self, folder: pathlib.Path) -> None:
        await self._store.server.start()
        self._store.put('config', 'main', direct_deployment.manifest())
        for service in (
            direct_deployment.MODEL_SERVICE,
            direct_deployment.PLAIN_SERVICE,
        ):
            for _ in range(ENGINES):
                await self._add_engine(service)
        for _ in range(ENTRIES):
            entry = EntryProcess(self._store.server.address, folder)
            self._entries.append(entry)
            await entry.start()
        for entry in self._entries:
            await entry.wait_until_ready()

    async def _stop(self) -> None:
        for entry in self._entries:
            await entry.stop()
        for engine in self._all_engines:
            await engine.server.stop()
        await self._store.server.stop()

    async def _add_engine(self, service: str) -> None:
        engine = direct_deployment.Engine(f'i-{next(self._numbers)}', service)
        engine.gap_s = 0.02
        await engine.server.start()
        self._engines.append(engine)
        self._all_engines.append(engine)
        self._store.put('servers', engine.name, engine.registration())

    async def _list_entries(self) -> None:
        """Tell entries of each other, as agents do."""
        agent = endpoint.Endpoint(messages.MESSAGE_TYPES)
        await agent.open(
            direct_deployment.unused_ip(), direct_deployment.INTERNAL_PORT
        )
        ips = [entry.ip for entry in self._entries]
        message = messages.EntryList(ips=endpoint.pack_ips(ips))
        try:
            while not self._is_over:
                agent.send(message, ips, direct_deployment.INTERNAL_PORT)
                await asyncio.sleep(0.3)
        finally:
            agent.close()

    async def _notice_crashes(self) -> None:
        """Replace engines that crashed, and take them off the list later."""
        while not self._is_over:
            for engine in list(self._engines):
                if engine.is_crashed:
                    self._crashed_s.append(_now_s())
                    await self._add_engine(engine.service)
                    self._engines[-1].crash_part = engine.crash_part
                    self._remove(engine)
            await asyncio.sleep(0.1)

    async def _call_repeatedly(self) -> None:
        rng = random.Random(self._rng.random())
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while not self._is_over:
                entry = rng.choice(self._entries)
                route = rng.choice(('stream', 'stream', 'once', 'safe'))
                parts = [f'aa{rng.randrange(12)}']
                if route == 'stream' and rng.random() < 0.15:
                    parts.append(CRASH_PART)
                pause_s = rng.choice((0.0, 0.0, rng.uniform(0.0, 2.0)))
                self._outcomes.append(
                    await self._call(session, entry, route, parts, pause_s)
                )
                await asyncio.sleep(rng.uniform(0.0, 0.1))

    async def _call(
        self,
        session: aiohttp.ClientSession,
        entry: EntryProcess,
        route: str,
        parts: list[str],
        pause_s: float,
    ) -> Outcome:
        """Send one call; its body comes with a pause if there is any."""
        number = next(self._numbers)
        found = Outcome(f'r{number}', route, entry.ip, _now_s(), 0.0, 0)
        prompt = ','.join(f'{part}:40' for part in [*parts, f'{number:x}'])
        body = b''
        is_complete = False
        changes = {}
        try:
            async with session.post(
                f'http://{entry.ip}:8227/{route}/p',
                headers={
                    'Host': direct_deployment.HOST_NAME,
                    'X-Request-Id': found.request_id,
                    'X-Key': direct_deployment.API_KEY,
                    'X-Deadline-Ms': '2500',
                    'X-Prompt-Prefix': prompt,
                },
                data=_slow_body(pause_s) if pause_s else None,
                timeout=aiohttp.ClientTimeout(total=6.0, connect=1.0),
            ) as resp:
                signature = resp.headers.get(
                    direct_deployment.SIGNATURE_HEADER, ''
                )
                changes = {
                    'status': resp.status,
                    'is_leaving': 'server-leaving' in resp.headers,
                    'target': signature.partition('.')[0],
                }
                async for data in resp.content.iter_any():
                    body += data
                is_complete = True
        except (aiohttp.ClientError, TimeoutError):
            # The outcome says what is missing.
            is_complete = False
        return dataclasses.replace(
            found,
            **changes,
            ended_s=_now_s(),
            body=body,
            is_complete=is_complete,
        )

    async def _inject_faults(self) -> None:
        rng = self._rng
        end_s = _now_s() + self._seconds
        series = []
        while (left_s := end_s - _now_s()) > 0:
            fault = rng.choice(list(FAULTS.values()))
            series.append(asyncio.create_task(fault(self)))
            await asyncio.sleep(min(left_s, rng.uniform(0.1, 1.0)))
        await asyncio.gather(*series)
        await asyncio.sleep(1.0)

    def disturb(self, entry: EntryProcess) -> None:
        """Record that an entry is excused at this time."""
        self._disturbed[entry.ip].append(_now_s())

    def random_entry(self) -> EntryProcess:
        """Return an entry for a fault."""
        return self._rng.choice(self._entries)

    def random_engines(self) -> list[direct_deployment.Engine]:
        """Return an engine for a fault, none if all have crashed."""
        running = [item for item in self._engines if not item.is_crashed]
        return self._rng.sample(running, min(1, len(running)))

    def uniform(self, low: float, high: float) -> float:
        """Return a random number of this run."""
        return self._rng.uniform(low, high)

    @property
    def store(self) -> direct_deployment.ObjectStore:
        """Return the store."""
        return self._store

    def new_manifest(self) -> None:
        """Write the next version of the manifest."""
        self._version += 1
        self._store.put(
            'config', 'main', direct_deployment.manifest(self._version)
        )

    async def restore_store(self) -> None:
        """Let the store come back from a copy; writers then write again."""
        self._store.make_copy()
        await asyncio.sleep(self.uniform(0.3, 2.0))
        self._store.mode = 'busy'
        await asyncio.sleep(self.uniform(0.1, 0.5))
        self._store.restore_copy()
        self._store.mode = 'ok'
        await asyncio.sleep(self.uniform(0.1, 1.0))
        self._store.put(
            'config', 'main', direct_deployment.manifest(self._version)
        )
        running = {item.name: item for item in self._engines}
        for name in self._store.names('servers') - running.keys():
            self._store.delete('servers', name)
        for name, engine in running.items():
            self._store.put('servers', name, engine.registration())

    async def replace(self, engine: direct_deployment.Engine) -> None:
        """Let an engine leave and another come; it goes after a while."""
        if engine.is_leaving:
            return
        await self._add_engine(engine.service)
        self._engines[-1].crash_part = engine.crash_part
        engine.is_leaving = True
        await asyncio.sleep(self.uniform(0.0, 3.0))
        self._remove(engine)

    def _remove(self, engine: direct_deployment.Engine) -> None:
        if engine in self._engines:
            self._engines.remove(engine)
            self._store.delete('servers', engine.name)

    def set_crash_part(self) -> None:
        """Let all model engines crash on one part of prompts from now on."""
        for engine in self._engines:
            if engine.service == direct_deployment.MODEL_SERVICE:
                engine.crash_part = CRASH_PART

    def _broken_promises(self) -> Iterator[str]:
        arrivals = sorted(
            (
                (item.received_s, engine, item)
                for engine in self._all_engines
                for item in engine.received
            ),
            key=lambda row: row[0],
        )
        by_id = {item.request_id: item for item in self._outcomes}
        executions = collections.Counter(
            item.request_id
            for _, _, item in arrivals
            if item.behaviour in _EXECUTING
        )
        passed_on = {item.request_id for _, _, item in arrivals}
        for item in self._outcomes:
            yield from _wrong_answers(item)
            if item.route == 'once':
                runs = executions[item.request_id]
                if runs > 1:
                    yield f'TWICE: {item.request_id} ran {runs} times'
                if runs and item.status in _NOT_RUN:
                    yield f'REFUSED: {item.request_id} got {item.status}'
            if (
                item.status == 0
                and item.request_id in passed_on
                and not self._is_excused(item.entry, item.sent_s, item.ended_s)
            ):
                yield f'LOST: {item.request_id} had no answer'
        yield from self._calls_to_leaving(arrivals, by_id)
        yield from self._calls_that_crash(arrivals, by_id)

    def _is_excused(self, entry: str, start_s: float, end_s: float) -> bool:
        return any(
            start_s - SETTLE_S <= at_s <= end_s
            for at_s in self._disturbed[entry]
        )

    def _calls_to_leaving(
        self, arrivals: list, by_id: dict[str, Outcome]
    ) -> Iterator[str]:
        told_s: dict[tuple[str, str], float] = {}
        for item in self._outcomes:
            if item.is_leaving and item.target:
                key = (item.entry, item.target)
                told_s[key] = min(told_s.get(key, item.ended_s), item.ended_s)
        for received_s, engine, item in arrivals:
            call = by_id.get(item.request_id)
            if call is None:
                continue
            since_s = told_s.get((call.entry, engine.name))
            if (
                since_s is not None
                and call.sent_s > since_s + DRAIN_S
                and not any(
                    since_s - SETTLE_S <= at_s <= received_s
                    for at_s in self._disturbed[call.entry]
                )
            ):
                yield (
                    f'DRAIN: {item.request_id} reached {engine.name} '
                    f'{received_s - since_s:.1f} s after it had said that it '
                    'leaves'
                )

    def _calls_that_crash(
        self, arrivals: list, by_id: dict[str, Outcome]
    ) -> Iterator[str]:
        if len(self._crashed_s) < CRASHES_BEFORE:
            return
        from_s = sorted(self._crashed_s)[CRASHES_BEFORE - 1] + SETTLE_S
        late = [
            item.request_id
            for received_s, engine, item in arrivals
            if received_s > from_s
            and engine.crash_part
            and f'{CRASH_PART}:' in item.headers.get('x-prompt-prefix', '')
            and (call := by_id.get(item.request_id)) is not None
            and not self._is_excused(call.entry, call.sent_s, received_s)
        ]
        if len(late) > CALLS_AFTER:
            yield f'BUDGET: {len(late)} calls after {CRASHES_BEFORE} crashes'


def _wrong_answers(item: Outcome) -> Iterator[str]:
    """Yield what is wrong with the bytes that a caller got."""
    if item.status != 200:
        return
    if item.route == 'stream':
        whole = direct_deployment.STREAM
        if item.is_complete and item.body != whole:
            yield f'ORDER: {item.request_id} ends early: {item.body[-40:]!r}'
        elif not whole.startswith(item.body):
            yield f'MIXED: {item.request_id}: {item.body[-80:]!r}'
    elif item.is_complete and item.body != (
        f'answer to /{item.route}/p'.encode()
    ):
        yield f'MIXED: {item.request_id}: {item.body[:80]!r}'


FAULTS: dict[str, Callable[[Soak], Awaitable[None]]] = {}


def _fault(work: Callable[[Soak], Awaitable[None]]):
    FAULTS[work.__name__] = work
    return work


@_fault
async def _kill_entry(soak: Soak) -> None:
    entry = soak.random_entry()
    soak.disturb(entry)
    await entry.restart(signal.SIGKILL)
    soak.disturb(entry)


@_fault
async def _terminate_entry(soak: Soak) -> None:
    entry = soak.random_entry()
    await entry.restart(signal.SIGTERM)
    soak.disturb(entry)


@_fault
async def _terminate_again(soak: Soak) -> None:
    entry = soak.random_entry()
    pauses_s = [soak.uniform(0.1, 2.0) for _ in range(2)]
    await entry.restart(signal.SIGTERM, pauses_s)
    soak.disturb(entry)


@_fault
async def _freeze_entry(soak: Soak) -> None:
    entry = soak.random_entry()
    soak.disturb(entry)
    entry.signal(signal.SIGSTOP)
    await asyncio.sleep(soak.uniform(0.3, 1.5))
    entry.signal(signal.SIGCONT)
    soak.disturb(entry)


@_fault
async def _reload_entry(soak: Soak) -> None:
    soak.random_entry().signal(signal.SIGHUP)


async def _disturb_store(soak: Soak, mode: str) -> None:
    soak.store.mode = mode
    await asyncio.sleep(soak.uniform(0.2, 2.5))
    soak.store.mode = 'ok'


for _mode in ('silent', 'busy', 'gone'):
    FAULTS[f'store_{_mode}'] = functools.partial(_disturb_store, mode=_mode)


@_fault
async def _fail_answers(soak: Soak) -> None:
    for engine in soak.random_engines():
        engine.behaviours += [
            _BEHAVIOURS[int(soak.uniform(0, len(_BEHAVIOURS)))]
            for _ in range(8)
        ]


@_fault
async def _turn_away(soak: Soak) -> None:
    for engine in soak.random_engines():
        engine.retry_after = f'{soak.uniform(0.5, 2.0):.2f}'
        engine.behaviours += ['shed'] * 3


@_fault
async def _replace_engine(soak: Soak) -> None:
    for engine in soak.random_engines():
        await soak.replace(engine)


@_fault
async def _poison(soak: Soak) -> None:
    soak.set_crash_part()


@_fault
async def _change_manifest(soak: Soak) -> None:
    soak.new_manifest()


@_fault
async def _restore_store(soak: Soak) -> None:
    await soak.restore_store()


@_fault
async def _write_odd_objects(soak: Soak) -> None:
    """Put a registration at an engine's address, and a large object."""
    for engine in soak.random_engines():
        later_ms = engine.registration()['born'] + int(soak.uniform(1, 60_000))
        odd = {
            f'odd-{engine.name}': engine.registration(
                service='unknown', born=later_ms
            ),
            'odd-large': LARGE_VALUE,
        }
        for name, spec in odd.items():
            soak.store.put('servers', name, spec)
            await asyncio.sleep(soak.uniform(0.0, 2.0))
        for name in odd:
            soak.store.delete('servers', name)


@_fault
async def _hostile_caller(soak: Soak) -> None:
    """Send trailers without end for a while."""
    head = (
        f'POST /once/p HTTP/1.1\r\nHost: {direct_deployment.HOST_NAME}\r\n'
        f'X-Key: {direct_deployment.API_KEY}\r\nX-Request-Id: hostile\r\n'
        'Transfer-Encoding: chunked\r\n\r\n0\r\n'
    )
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(1.0):
            _, writer = await asyncio.open_connection(
                soak.random_entry().ip, 8227
            )
            try:
                writer.write(head.encode())
                while True:
                    writer.write(b'a: b\r\n' * 100)
                    await writer.drain()
                    await asyncio.sleep(0.01)
            finally:
                writer.transport.abort()


async def _slow_body(pause_s: float) -> AsyncIterator[bytes]:
    yield b'{'
    await asyncio.sleep(pause_s)
    yield b'}'


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def main(argv: list[str]) -> None:
    """Run the soaks; the exit code is 1 if a promise was broken."""
    del argv
    is_broken = False
    for seed in range(_SEED.value, _SEED.value + _RUNS.value):
        soak = Soak(seed, _SECONDS.value)
        broken = asyncio.run(soak.run())
        is_broken |= bool(broken)
        print(
            f'seed {seed}: {soak.calls} calls, served {soak.served():.3f}, '
            f'{soak.crashes} crashes, {len(broken)} broken promises',
            *broken[:20],
            sep='\n  ',
            flush=True,
        )
    sys.exit(is_broken)


if __name__ == '__main__':
    app.run(main)
