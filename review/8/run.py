"""Another writer's entries that cannot be read block the entries."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

SHARED = pathlib.Path(__file__).resolve().parent.parent / '6'
sys.path.insert(0, str(SHARED))

import callers as consumers  # noqa: E402
import peer_http as http  # noqa: E402
import small_deployment as deployment  # noqa: E402

ENGINES = 3
ENTRIES = 2
HEARTBEAT_S = 1.2
OTHER_ENTRIES = ('other-1', 'other-2')
VALUE_BYTES = 1_000_000
"""Below the 1,048,576 bytes that the store takes for an object."""

TIMEOUT_MS = 400
CALLER_DEADLINE_MS = 1013
LATE_S = 0.5
PER_S = 40.0
RUN_S = 20.0
TROUBLE_FROM_S = 4.0
TROUBLE_S = 12.0


def unreadable_value() -> bytes:
    """Return a JSON list with a string that is not UTF-8 at its end."""
    end = b'"\xff"]'
    return b'[' + b'[],' * ((VALUE_BYTES - len(end)) // 3) + end


class Engine:
    """A sound engine that answers after 45 ms."""

    def __init__(self, name: str, ip: str, record: deployment.Record) -> None:
        self.name = name
        self.ip = ip
        self._record = record
        self.server = http.Server(ip, deployment.ENGINE_PORT, self._answer)

    async def _answer(
        self,
        req: http.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = req.headers.get('x-request-id', '')
        self._record.line(f'{self.name} runs {request_id}')
        await asyncio.sleep(0.045)
        writer.write(
            http.answer(
                200,
                b'whole',
                X_Engine_Signature=f'{self.name}.1',
                X_Request_Id=request_id,
            )
        )


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


async def write_entries(
    store: deployment.Store, record: deployment.Record
) -> None:
    """Write entries as often as engines do, as another program does."""
    await asyncio.sleep(TROUBLE_FROM_S)
    value = unreadable_value()
    end_s = time.monotonic() + TROUBLE_S
    while time.monotonic() < end_s:
        for name in OTHER_ENTRIES:
            store.put_bytes('servers', name, value)
            record.line(f'another writer puts {name}: {len(value)} bytes')
        await asyncio.sleep(HEARTBEAT_S)
    for name in OTHER_ENTRIES:
        store.delete('servers', name)


async def run(folder: str, has_trouble: bool) -> int:
    """Return the exit status of the script."""
    record = deployment.Record(pathlib.Path(__file__).parent)
    ips = deployment.host_ips(1 + ENGINES + ENTRIES)
    store = deployment.Store(ips[0])
    await store.server.start()
    store.put('config', 'main', deployment.manifest(safe=TIMEOUT_MS))
    for number in range(ENGINES):
        engine = Engine(f'i-{number}', ips[1 + number], record)
        await engine.server.start()
        row = deployment.registration(deployment.PLAIN_SERVICE, engine.ip)
        store.put('servers', engine.name, row)
    entries = [
        deployment.Process('direct_entry', ip, store.server.address, folder)
        for ip in ips[1 + ENGINES :]
    ]
    try:
        for entry in entries:
            entry.start()
        for entry in entries:
            if not await entry.wait_until_ready():
                record.line('an entry did not become ready')
                return 2
        callers = TimedCallers(
            [entry.ip for entry in entries], record, 'safe', CALLER_DEADLINE_MS
        )
        work = [callers.run(PER_S, RUN_S)]
        if has_trouble:
            work.append(write_entries(store, record))
        await asyncio.gather(*work)
    finally:
        for entry in entries:
            entry.end()
    text = (
        f'{callers.unanswered_at_timeout} of {callers.statuses.total()} '
        f'requests unanswered at the time-out of {TIMEOUT_MS} ms, '
        f'{callers.unanswered_later} of them {LATE_S} s later'
    )
    record.line(f'answers {dict(callers.statuses)}')
    record.line(text)
    print(text)
    is_broken = (
        callers.unanswered_later >= 8
        and callers.unanswered_later > callers.unanswered_at_timeout / 4
    )
    return 1 if is_broken else 0


def main() -> int:
    """Run the case in a temporary folder."""
    with deployment.temporary_folder() as folder:
        return asyncio.run(run(folder, os.environ.get('TROUBLE') != '0'))


if __name__ == '__main__':
    sys.exit(main())
