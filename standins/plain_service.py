"""Fake of a plain service that takes orders and counts executions.

``POST /orders`` and ``PUT /orders`` with ``{"key": ...}`` execute an order;
``GET /executions`` returns the number of executions by key; ``GET
/orders/<key>`` returns that of one key. ``POST /faults`` sets faults:
``delay_s`` (delay between execution and answer), ``delay_before_s`` (delay
before the execution), ``fail_after`` (executes, then aborts the connection
without an answer), ``fail_before`` (aborts it without executing),
``cut_answer`` (executes, then aborts it in the middle of the answer) and
``answer_bytes`` (length of the padding in the answer).
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import json
import secrets
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

from starlette import applications, requests, responses, routing

from . import serving


@dataclasses.dataclass
class Faults:
    """Active faults; see the module's docstring."""

    delay_s: float = 0.0
    delay_before_s: float = 0.0
    fail_after: bool = False
    fail_before: bool = False
    cut_answer: bool = False
    answer_bytes: int = 0


class PlainService:
    """State of the fake and its HTTP handlers."""

    def __init__(self) -> None:
        self._executions: collections.Counter[str] = collections.Counter()
        self._faults = Faults()
        self._generation = secrets.randbits(40)
        self._started_at = time.monotonic()
        self._running = 0
        self._completed = 0

    def app(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route('/orders', self._order, methods=['POST', 'PUT']),
                routing.Route('/orders/{key}', self._look_up),
                routing.Route('/executions', self._get_executions),
                routing.Route('/load', self._load),
                routing.Route('/faults', self._set_faults, methods=['POST']),
            ]
        )

    async def _order(self, req: requests.Request) -> responses.Response:
        document = await req.json()
        abort = req.scope['abort_connection']
        if self._faults.fail_before:
            abort()
            return responses.Response()
        self._running += 1
        try:
            await asyncio.sleep(self._faults.delay_before_s)
            self._executions[document['key']] += 1
            number = sum(self._executions.values())
            await asyncio.sleep(self._faults.delay_s)
        finally:
            self._running -= 1
            self._completed += 1
        if self._faults.fail_after:
            abort()
            return responses.Response()
        answer = {
            'key': document['key'],
            'order': number,
            'padding': 'x' * self._faults.answer_bytes,
        }
        if self._faults.cut_answer:
            return responses.StreamingResponse(
                _stream_half(answer, abort), 201
            )
        return responses.JSONResponse(answer, 201)

    async def _look_up(self, req: requests.Request) -> responses.Response:
        key = req.path_params['key']
        return responses.JSONResponse(
            {'key': key, 'executions': self._executions[key]}
        )

    async def _get_executions(
        self, req: requests.Request
    ) -> responses.Response:
        return responses.JSONResponse(dict(self._executions))

    async def _load(self, req: requests.Request) -> responses.Response:
        return responses.JSONResponse(
            {
                'generation': self._generation,
                'running': self._running,
                'completed': self._completed,
                'uptime_s': time.monotonic() - self._started_at,
            }
        )

    async def _set_faults(self, req: requests.Request) -> responses.Response:
        self._faults = dataclasses.replace(self._faults, **(await req.json()))
        return responses.JSONResponse(dataclasses.asdict(self._faults))


async def _stream_half(
    answer: dict[str, Any], abort: Callable[[], None]
) -> AsyncIterator[bytes]:
    text = json.dumps(answer).encode()
    yield text[: len(text) // 2]
    await asyncio.sleep(0.1)
    abort()


if __name__ == '__main__':
    args = serving.parser(__doc__).parse_args()
    serving.run(lambda: PlainService().app(), args.port)
