"""Planned stops of the direct entry as a process, under calls.

The load pattern: callers use connections until the process is gone, send
bodies with pauses, and read streams that last about as long as the grace.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import signal
import tempfile

from proof import direct_soak
from standins import direct_deployment

GRACE_S = 8.0
TIMEOUT_MS = 12_000


@dataclasses.dataclass(frozen=True)
class Answer:
    """What a caller got.

    :ivar is_whole: whether the answer ended as its framing says.
    :ivar ended_s: loop time.
    """

    status: int
    body: bytes
    is_whole: bool
    ended_s: float


class Site:
    """A store, engines, and one entry as a process.

    :ivar term_s: loop time of the first SIGTERM.
    """

    def __init__(self) -> None:
        self.store = direct_deployment.ObjectStore()
        self.engines = {
            service: direct_deployment.Engine(f'i-{service}', service)
            for service in (
                direct_deployment.MODEL_SERVICE,
                direct_deployment.PLAIN_SERVICE,
            )
        }
        self.entry: direct_soak.EntryProcess | None = None
        self.term_s = 0.0
        self._is_stopping = asyncio.Event()

    async def start(self, folder: pathlib.Path) -> None:
        """Start all parts and wait until the entry is ready."""
        await self.store.server.start()
        document = direct_deployment.manifest(timeout_ms=TIMEOUT_MS)
        self.store.put('config', 'main', document)
        for engine in self.engines.values():
            await engine.server.start()
            self.store.put('servers', engine.name, engine.registration())
        self.entry = direct_soak.EntryProcess(
            self.store.server.address, folder
        )
        await self.entry.start()
        await self.entry.wait_until_ready()
        await self._wait_until_listening()

    async def _wait_until_listening(self) -> None:
        """Wait for the callers' port, which opens after the readiness port."""
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                _, writer = await asyncio.open_connection(self.entry.ip, 8227)
                writer.close()
                return
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Kill the entry and stop the stand-ins."""
        await self.entry.stop()
        for engine in self.engines.values():
            await engine.server.stop()
        await self.store.server.stop()

    def received(self, request_id: str) -> bool:
        """Return whether an engine got the request."""
        return any(
            item.request_id == request_id
            for engine in self.engines.values()
            for item in engine.received
        )

    def log_lines(self, event: str) -> list[dict]:
        """Return the lines of the entry's log with an event."""
        rows = map(json.loads, self.entry.log.splitlines())
        return [row for row in rows if row['event'] == event]

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.term_s = self.term_s or asyncio.get_running_loop().time()
        self.entry.signal(signal.SIGTERM)
        self._is_stopping.set()

    async def sleep_until(self, after_term_s: float) -> None:
        """Sleep until a time after the first SIGTERM."""
        await self._is_stopping.wait()
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(self.term_s + after_term_s - now_s)

    async def exit_s(self) -> float:
        """Wait until the entry has ended; return the time since SIGTERM."""
        await self.entry.wait()
        return asyncio.get_running_loop().time() - self.term_s

    async def call(
        self,
        route: str,
        request_id: str,
        deadline_ms: int,
        body_at_s: float | None = None,
    ) -> Answer:
        """Send a request on a connection of its own and read the answer.

        :param body_at_s: time after SIGTERM at which the last part of the
            body is sent; None sends all at once.
        """
        reader, writer = await asyncio.open_connection(self.entry.ip, 8227)
        rows = {
            'Host': direct_deployment.HOST_NAME,
            'X-Request-Id': request_id,
            'X-Key': direct_deployment.API_KEY,
            'X-Deadline-Ms': str(deadline_ms),
            'Transfer-Encoding': 'chunked',
        }
        head = f'POST /{route}/p HTTP/1.1\r\n' + ''.join(
            f'{name}: {value}\r\n' for name, value in rows.items()
        )
        writer.write(f'{head}\r\n1\r\n{{\r\n'.encode())
        if body_at_s is not None:
            await self.sleep_until(body_at_s)
        with contextlib.suppress(ConnectionError):
            writer.write(b'1\r\n}\r\n0\r\n\r\n')
            await writer.drain()
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                return await _read_answer(reader)
        finally:
            writer.close()


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    data = b''
    with contextlib.suppress(ConnectionError):
        while piece := await reader.read(65536):
            data += piece
    ended_s = asyncio.get_running_loop().time()
    head, _, body = data.partition(b'\r\n\r\n')
    if not head:
        return Answer(0, b'', False, ended_s)
    status = int(head.split()[1])
    if b'transfer-encoding: chunked' in head.lower():
        is_whole = body.endswith(b'0\r\n\r\n')
        return Answer(status, body, is_whole, ended_s)
    length = int(head.lower().partition(b'content-length: ')[2].split()[0])
    return Answer(status, body, len(body) == length, ended_s)


def run_scenario(scenario) -> None:
    async def run():
        with tempfile.TemporaryDirectory() as folder:
            site = Site()
            await site.start(pathlib.Path(folder))
            try:
                async with asyncio.timeout(30):
                    await scenario(site)
            finally:
                await site.close()

    asyncio.run(run())


def test_body_that_ends_late_in_the_grace_is_not_passed_on():
    """Guards against calls that a stopping entry takes and cannot complete.

    Their bodies began in time and were complete only late in the grace.
    """

    async def scenario(site):
        site.engines[direct_deployment.MODEL_SERVICE].gap_s = 0.75
        site.engines[direct_deployment.PLAIN_SERVICE].head_delay_s = 5.0
        calls = [
            asyncio.create_task(
                site.call(route, request_id, deadline, body_at)
            )
            for route, request_id, deadline, body_at in (
                ('stream', 'early', 8000, 1.0),
                ('stream', 'late', 9500, 4.0),
                ('once', 'late-once', 9500, 4.5),
            )
        ]
        await asyncio.sleep(0.5)
        site.terminate()
        early, *late = await asyncio.gather(*calls)
        assert (early.status, early.is_whole) == (200, True)
        for answer in late:
            assert (answer.status, answer.is_whole) == (503, True), answer
        assert not site.received('late')
        assert not site.received('late-once')

    run_scenario(scenario)


def test_short_calls_are_served_until_the_entry_ends():
    """Guards against refusing calls that end before the process does."""

    async def scenario(site):
        calls = [
            asyncio.create_task(site.call('once', f'r{at}', 6000, at))
            for at in (1.0, 3.0)
        ]
        await asyncio.sleep(0.5)
        site.terminate()
        late = asyncio.create_task(site.call('safe', 'short', 5000, 4.0))
        for answer in await asyncio.gather(*calls, late):
            assert (answer.status, answer.is_whole) == (200, True), answer

    run_scenario(scenario)


def test_second_sigterm_does_not_shorten_a_stop():
    """Guards against streams that a repeated SIGTERM cuts off."""

    async def scenario(site):
        site.engines[direct_deployment.MODEL_SERVICE].gap_s = 0.93
        call = asyncio.create_task(site.call('stream', 'r1', 9000))
        await asyncio.sleep(0.5)
        for at_s in (0.0, 0.5, 3.0):
            if at_s:
                await site.sleep_until(at_s)
            site.terminate()
        answer = await call
        assert (answer.status, answer.is_whole) == (200, True)
        assert await site.exit_s() < GRACE_S

    run_scenario(scenario)


def test_entry_ends_by_itself_and_accounts_for_what_it_cuts():
    """Guards against an end by SIGKILL that leaves no line of cut calls.

    A call without any part of an answer gets one that says that it may have
    run; the engines stop working on both.
    """

    async def scenario(site):
        stream_engine = site.engines[direct_deployment.MODEL_SERVICE]
        plain_engine = site.engines[direct_deployment.PLAIN_SERVICE]
        stream_engine.gap_s = 1.4
        plain_engine.behaviours = ['hang']
        calls = [
            asyncio.create_task(site.call(route, route, 11_500))
            for route in ('stream', 'once')
        ]
        await asyncio.sleep(0.5)
        site.terminate()
        assert await site.exit_s() < GRACE_S
        stream, once = await asyncio.gather(*calls)
        assert (stream.status, stream.is_whole) == (200, False)
        assert stream.ended_s - site.term_s > 0.9 * GRACE_S
        assert (once.status, once.is_whole) == (502, True)
        (cut,) = site.log_lines('cut')
        assert cut['request_id'] == 'stream'
        (refused,) = site.log_lines('refused')
        assert refused['request_id'] == 'once' and refused['may_have_run']
        assert {row['result'] for row in site.log_lines('attempt')} == {
            'cancelled'
        }
        assert plain_engine.received[0].disconnected

    run_scenario(scenario)
