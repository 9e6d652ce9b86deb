"""Entries of another writer, at the addresses of sound engines."""

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
OTHER_SERVICE = 'svc-of-another-writer'
PER_S = 20.0
RUN_S = 15.0


class Engine:
    """A sound engine that answers after 5 ms."""

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
        await asyncio.sleep(0.005)
        writer.write(
            http.answer(
                200,
                b'whole',
                X_Engine_Signature=f'{self.name}.1',
                X_Request_Id=request_id,
            )
        )


async def run(folder: str, has_trouble: bool) -> int:
    """Return the exit status of the script."""
    record = deployment.Record(pathlib.Path(__file__).parent)
    ips = deployment.host_ips(2 + ENGINES)
    store = deployment.Store(ips[0])
    await store.server.start()
    document = deployment.manifest()
    assert OTHER_SERVICE not in {row['name'] for row in document['services']}
    store.put('config', 'main', document)
    started_ms = int(time.time() * 1000) - 60_000
    for number in range(ENGINES):
        engine = Engine(f'i-{number}', ips[1 + number], record)
        await engine.server.start()
        row = deployment.registration(
            deployment.PLAIN_SERVICE, engine.ip, born=started_ms
        )
        store.put('servers', engine.name, row)
        if has_trouble:
            other = deployment.registration(
                OTHER_SERVICE, engine.ip, born=started_ms + 30_000
            )
            store.put('servers', f'other-{number}', other)
            record.line(f'another writer puts other-{number}: {other}')
    entry = deployment.Process(
        'direct_entry', ips[-1], store.server.address, folder
    )
    try:
        entry.start()
        if not await entry.wait_until_ready():
            record.line('the entry did not become ready')
            return 2
        callers = consumers.Callers([entry.ip], record, 'safe', 1010)
        await callers.run(PER_S, RUN_S)
    finally:
        entry.end()
    served = callers.statuses[200]
    asked = callers.statuses.total()
    record.line(f'{served} of {asked} requests served')
    print(f'{served} of {asked} requests served: {dict(callers.statuses)}')
    return 1 if not served else 0


def main() -> int:
    """Run the case in a temporary folder."""
    with deployment.temporary_folder() as folder:
        return asyncio.run(run(folder, os.environ.get('TROUBLE') != '0'))


if __name__ == '__main__':
    sys.exit(main())
