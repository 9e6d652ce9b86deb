"""Engines in trouble send empty lines without end; entries stand still."""

from __future__ import annotations

import asyncio
import os
import pathlib
import subprocess
import sys
import time

SHARED = pathlib.Path(__file__).resolve().parent.parent / '6'
sys.path.insert(0, str(SHARED))

import callers as consumers  # noqa: E402
import peer_http as http  # noqa: E402
import small_deployment as deployment  # noqa: E402

MODEL_ENGINES = 6
ENGINES_IN_TROUBLE = 3
"""Share 0.5; the site file has wrong bytes from up to 0.6 of the engines."""

PLAIN_ENGINES = 3
PIECE = b'\n' * 16_000
PIECE_PAUSE_S = 0.002
WORK_S = 0.045
EVENTS = 4
EVENT_PAUSE_S = 0.03
TIMEOUT_MS = 400
CALLER_DEADLINE_MS = 1013
LATE_S = 0.5
PER_S = 20.0
RUN_S = 15.0
ENGINES_COMMAND = 'engines'


class Engine:
    """Answers orders and streams; one in trouble never ends a stream."""

    def __init__(self, name: str, ip: str, in_trouble: bool) -> None:
        self._name = name
        self._in_trouble = in_trouble
        self.server = http.Server(ip, deployment.ENGINE_PORT, self._answer)

    async def _answer(
        self,
        req: http.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = req.headers.get('x-request-id', '')
        print(f'{self._name} runs {request_id}', flush=True)
        if not req.path.startswith('/stream/'):
            await asyncio.sleep(WORK_S)
            writer.write(
                http.answer(
                    200,
                    b'whole',
                    X_Engine_Signature=f'{self._name}.1',
                    X_Request_Id=request_id,
                )
            )
            return
        writer.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
            b'X-Engine-Signature: %s.1\r\nX-Request-Id: %s\r\n'
            % (self._name.encode(), request_id.encode())
        )
        if self._in_trouble:
            await self._send_empty_lines(writer)
            return
        writer.write(b'Transfer-Encoding: chunked\r\n\r\n')
        first = int(req.headers.get('last-event-id', 0)) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_PAUSE_S)
            event = b'id: %d\ndata: %d\n\n' % (number, number)
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        writer.write(b'0\r\n\r\n')

    async def _send_empty_lines(self, writer: asyncio.StreamWriter) -> None:
        """Send empty lines until the caller closes the connection."""
        writer.write(b'\r\n')
        try:
            while not writer.is_closing():
                writer.write(PIECE)
                await writer.drain()
                await asyncio.sleep(PIECE_PAUSE_S)
        except ConnectionError:
            pass
        writer.transport.abort()


class TimedCallers(consumers.Callers):
    """Callers that count the requests that last longer than the route's."""

    unanswered_at_timeout = 0
    unanswered_later = 0

    async def send(self, ip: str) -> http.Answer:
        """Send one request and time its final answer."""
        start_s = time.monotonic()
        found = await super().send(ip)
        took_s = time.monotonic() - start_s
        is_final = found.is_whole
        limit_s = TIMEOUT_MS / 1000
        self.unanswered_at_timeout += not is_final or took_s > limit_s
        self.unanswered_later += not is_final or took_s > limit_s + LATE_S
        return found


async def serve_engines(in_trouble: int, ips: list[str]) -> None:
    """Run the engines until the process is ended."""
    for number, ip in enumerate(ips):
        await Engine(f'i-{number}', ip, number < in_trouble).server.start()
    print('engines listen', flush=True)
    await asyncio.Event().wait()


def start_engines(
    runs: pathlib.Path, in_trouble: int, ips: list[str]
) -> subprocess.Popen:
    """Start the engines in a process of their own, which writes *runs*."""
    with runs.open('wb') as log:
        return subprocess.Popen(
            [sys.executable, __file__, ENGINES_COMMAND, str(in_trouble), *ips],
            stdout=log,
            stdin=subprocess.DEVNULL,
        )


async def run(folder: str, has_trouble: bool) -> int:
    """Return the exit status of the script."""
    case = pathlib.Path(__file__).parent
    record = deployment.Record(case)
    ips = deployment.host_ips(2 + MODEL_ENGINES + PLAIN_ENGINES)
    engine_ips = ips[1:-1]
    store = deployment.Store(ips[0])
    await store.server.start()
    store.put('config', 'main', deployment.manifest(once=TIMEOUT_MS))
    for number, ip in enumerate(engine_ips):
        service = (
            deployment.MODEL_SERVICE
            if number < MODEL_ENGINES
            else deployment.PLAIN_SERVICE
        )
        row = deployment.registration(service, ip)
        store.put('servers', f'i-{number}', row)
    in_trouble = ENGINES_IN_TROUBLE if has_trouble else 0
    entry = deployment.Process(
        'direct_entry', ips[-1], store.server.address, folder
    )
    runs = pathlib.Path(folder) / 'engines.log'
    engines = start_engines(runs, in_trouble, engine_ips)
    try:
        entry.start()
        if not await entry.wait_until_ready():
            record.line('the entry did not become ready')
            return 2
        orders = TimedCallers([entry.ip], record, 'once', CALLER_DEADLINE_MS)
        streams = consumers.Callers([entry.ip], record, 'stream', 8041)
        await asyncio.gather(
            orders.run(PER_S, RUN_S), streams.run(PER_S, RUN_S)
        )
    finally:
        entry.end()
        engines.kill()
        engines.wait()
    for line in runs.read_text().splitlines():
        record.line(line)
    text = (
        f'{orders.unanswered_at_timeout} of {orders.statuses.total()} orders '
        f'unanswered at the time-out of {TIMEOUT_MS} ms, '
        f'{orders.unanswered_later} of them {LATE_S} s later'
    )
    record.line(f'streams {dict(streams.statuses)}')
    record.line(f'orders {dict(orders.statuses)}')
    record.line(text)
    print(text)
    is_broken = (
        orders.unanswered_later >= 8
        and orders.unanswered_later > orders.unanswered_at_timeout / 4
    )
    return 1 if is_broken else 0


def main() -> int:
    """Run the case in a temporary folder, or its engines."""
    if sys.argv[1:2] == [ENGINES_COMMAND]:
        asyncio.run(serve_engines(int(sys.argv[2]), sys.argv[3:]))
        return 0
    with deployment.temporary_folder() as folder:
        return asyncio.run(run(folder, os.environ.get('TROUBLE') != '0'))


if __name__ == '__main__':
    sys.exit(main())
