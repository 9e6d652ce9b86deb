"""Callers that send requests at a steady rate."""

from __future__ import annotations

import asyncio
import collections
import itertools
from collections.abc import Callable, Sequence

import peer_http as http
import small_deployment as deployment

_NUMBERS = itertools.count(1)


class Callers:
    """Sends requests to entries in turn and counts the answers by status."""

    def __init__(
        self,
        entries: Sequence[str],
        record: deployment.Record,
        route: str,
        deadline_ms: int,
        headers: Callable[[str], dict[str, str]] = lambda request_id: {},
    ) -> None:
        """Create callers that send nothing yet.

        :param entries: IP addresses of the entries.
        :param headers: returns more headers of a request, by its id.
        """
        self._entries = itertools.cycle(entries)
        self._record = record
        self._route = route
        self._deadline_ms = deadline_ms
        self._headers = headers
        self._tasks: set[asyncio.Task[None]] = set()
        self.statuses: collections.Counter[int] = collections.Counter()

    def reset(self) -> None:
        """Count anew."""
        self.statuses = collections.Counter()

    async def run(self, per_s: float, for_s: float) -> None:
        """Send requests for some time, and wait for their answers."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        for number in itertools.count():
            due_s = start_s + number / per_s
            if due_s > start_s + for_s:
                break
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            task = asyncio.create_task(self.send(next(self._entries)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def send(self, ip: str) -> http.Answer:
        """Send one request and record its answer."""
        request_id = f'q{next(_NUMBERS)}'
        self._record.line(f'sent {request_id} to {ip}')
        found = await http.call(
            f'{ip}:{deployment.ENTRY_PORT}',
            'POST',
            f'/{self._route}/x',
            deployment.caller_headers(request_id, self._deadline_ms)
            | self._headers(request_id),
            b'{}',
            self._deadline_ms / 1000,
        )
        status = found.status if found.is_whole else 0
        self.statuses[status] += 1
        self._record.line(f'answered {request_id}: {status or "none"}')
        return found
