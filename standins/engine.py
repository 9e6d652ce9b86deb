"""Fake of a model engine with an OpenAI-style API.

It generates ``max_tokens`` tokens, one every ``--token-ms``, whose text
depends only on the request, so that a test can compute the complete answer
with :func:`expected_text` or :func:`expected_stream`. With more than
``--capacity`` running calls it slows down. A call that exceeds its overload
limit makes it fail all running calls, and every new one for
:data:`OUTAGE_S`. The limit is ``--fall-over`` calls when it is warm and as few
as :data:`COLD_OVERLOAD_LIMIT` before it has completed any. Finished streams
are kept for a time so that they can be resumed.

``POST /faults`` sets faults: ``stall_s`` (delay of each token), ``cold``
(true: new generation and empty cache; ``"cache"``: only the cache is lost),
``cross_answers`` (a call gets the stream of another one) and ``refuse`` (new
calls and load queries get 503). An engine that becomes cold continues the
calls that it has, whose contexts are in memory; only calls that start later
count against the limit.
"""

from __future__ import annotations

import asyncio
import dataclasses
import hashlib
import json
import secrets
import time
from collections.abc import AsyncIterator, Iterator
from typing import Any

from starlette import applications, requests, responses, routing

from . import serving

FINISHED_STREAM_RETENTION_S = 30.0
OUTAGE_S = 2.0
COLD_OVERLOAD_LIMIT = 3


@dataclasses.dataclass
class Faults:
    """Active faults; see the module's docstring."""

    stall_s: float = 0.0
    cross_answers: bool = False
    refuse: bool = False


class Stream:
    """The output of one call, which can have any number of readers."""

    def __init__(self, call_id: str, warm_period: int) -> None:
        self.call_id = call_id
        self.warm_period = warm_period
        self.data = bytearray()
        self.is_done = False
        self.is_failed = False
        self.changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    def append(self, data: bytes) -> None:
        """Append bytes and notify the readers."""
        self.data += data
        self._notify_readers()

    def end(self, failed: bool) -> None:
        """End the stream and notify the readers."""
        self.is_done = True
        self.is_failed = failed
        self._notify_readers()

    async def read(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the bytes from *offset* to the end."""
        while True:
            if len(self.data) > offset:
                data = bytes(self.data[offset:])
                offset += len(data)
                yield data
            elif self.is_done:
                if self.is_failed:
                    raise ConnectionAbortedError(
                        'the engine failed or cancelled the call'
                    )
                return
            else:
                await self.changed.wait()

    def _notify_readers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def generated_tokens(document: dict[str, Any]) -> Iterator[str]:
    """Yield the tokens that an engine generates for a request."""
    seed = hashlib.sha256(
        json.dumps(document.get('messages'), sort_keys=True).encode()
    ).hexdigest()
    for index in range(int(document.get('max_tokens', 16))):
        yield f'{seed[index % 56 : index % 56 + 8]}-{index} '


def expected_text(document: dict[str, Any]) -> str:
    """Return the complete text that an engine generates for a request."""
    return ''.join(generated_tokens(document))


def stream_event(call_id: str, model: str | None, token: str) -> bytes:
    """Return the server-sent event of one token."""
    chunk = {
        'id': call_id,
        'object': 'chat.completion.chunk',
        'model': model,
        'choices': [{'index': 0, 'delta': {'content': token}}],
    }
    return f'data: {json.dumps(chunk)}\n\n'.encode()


def expected_stream(call_id: str, document: dict[str, Any]) -> bytes:
    """Return all bytes that an engine streams for a request."""
    model = document.get('model')
    events = [
        stream_event(call_id, model, token)
        for token in generated_tokens(document)
    ]
    return b''.join(events) + b'data: [DONE]\n\n'


def expected_body(call_id: str, document: dict[str, Any]) -> bytes:
    """Return the body of an answer that is not streamed."""
    text = expected_text(document)
    body = {
        'id': call_id,
        'object': 'chat.completion',
        'model': document.get('model'),
        'choices': [
            {
                'index': 0,
                'finish_reason': 'stop',
                'message': {'role': 'assistant', 'content': text},
            }
        ],
        'usage': {'completion_tokens': text.count(' ')},
    }
    return json.dumps(body).encode()


class Engine:
    """State of the fake and its HTTP handlers."""

    def __init__(
        self,
        token_ms: float,
        first_ms: float,
        capacity: int,
        fall_over: int,
        warm_after: int,
    ) -> None:
        self._token_s = token_ms / 1000
        self._first_s = first_ms / 1000
        self._capacity = capacity
        self._warm_overload_limit = fall_over
        self._warm_after = warm_after
        self._streams: dict[str, Stream] = {}
        self._unfinished: set[Stream] = set()
        self._warm_period = 0
        self._faults = Faults()
        self._down_until = 0.0
        self.falls = 0
        self.peak_running = 0
        self.started = 0
        self.last_started_at = 0.0
        self.cancelled = 0
        self._reset()

    def _clear_cache(self) -> None:
        self._warm_period += 1
        self._warm_completed = 0
        self._cache: set[str] = set()

    def _reset(self) -> None:
        self._clear_cache()
        self._generation = secrets.randbits(40)
        self._started_at = time.monotonic()
        self._completed = 0
        self.hits = 0

    def app(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/chat/completions', self._chat, methods=['POST']
                ),
                routing.Route(
                    '/v1/streams/{id}',
                    self._stream,
                    methods=['GET', 'DELETE'],
                ),
                routing.Route('/load', self._load),
                routing.Route('/faults', self._set_faults, methods=['POST']),
            ]
        )

    @property
    def _running(self) -> int:
        return len(self._unfinished)

    def _calls_since_cold(self) -> int:
        """Return how many running calls started since it was last cold."""
        return sum(
            stream.warm_period == self._warm_period
            for stream in self._unfinished
        )

    def _overload_limit(self) -> int:
        """Return how many calls it can run; fewer while it is cold."""
        if self._warm_completed >= self._warm_after:
            return self._warm_overload_limit
        share = self._warm_completed / self._warm_after
        return max(COLD_OVERLOAD_LIMIT, int(self._warm_overload_limit * share))

    async def _chat(self, req: requests.Request) -> responses.Response:
        document = await req.json()
        if self._faults.refuse or time.monotonic() < self._down_until:
            return responses.JSONResponse({'error': 'down'}, 503)
        call_id = req.headers.get('x-request-id') or secrets.token_hex(8)
        self.started += 1
        self.last_started_at = time.time()
        stream = Stream(call_id, self._warm_period)
        self._streams[call_id] = stream
        self._unfinished.add(stream)
        stream.task = asyncio.create_task(self._generate(stream, document))
        self.peak_running = max(self.peak_running, self._running)
        if self._calls_since_cold() > self._overload_limit():
            self._fail_all_calls()
        if self._faults.cross_answers and len(self._unfinished) > 1:
            stream = next(iter(self._unfinished - {stream}))
        if document.get('stream'):
            return self._streaming_response(stream, 0)
        await asyncio.wait([stream.task])
        if stream.is_failed:
            return responses.JSONResponse({'error': 'failed'}, 500)
        return self._complete_response(stream, document)

    def _finish(self, stream: Stream, failed: bool) -> None:
        stream.end(failed)
        self._unfinished.discard(stream)
        asyncio.get_running_loop().call_later(
            FINISHED_STREAM_RETENTION_S,
            self._streams.pop,
            stream.call_id,
            None,
        )

    def _fail_all_calls(self) -> None:
        self.falls += 1
        self._down_until = time.monotonic() + OUTAGE_S
        for stream in list(self._unfinished):
            stream.task.cancel()
            self._finish(stream, failed=True)

    async def _generate(
        self, stream: Stream, document: dict[str, Any]
    ) -> None:
        prefix = json.dumps(document.get('messages'))[:256]
        is_hit = prefix in self._cache
        self.hits += is_hit
        self._cache.add(prefix)
        await asyncio.sleep(self._first_s * (0.3 if is_hit else 1.0))
        for token in generated_tokens(document):
            if self._faults.stall_s:
                await asyncio.sleep(self._faults.stall_s)
            stream.append(
                stream_event(stream.call_id, document.get('model'), token)
            )
            slowdown = max(1.0, self._running / self._capacity)
            await asyncio.sleep(self._token_s * slowdown)
        stream.append(b'data: [DONE]\n\n')
        self._completed += 1
        self._warm_completed += stream.warm_period == self._warm_period
        self._finish(stream, failed=False)

    def _streaming_response(
        self, stream: Stream, offset: int
    ) -> responses.Response:
        return responses.StreamingResponse(
            stream.read(offset),
            media_type='text/event-stream',
            headers={'x-request-id': stream.call_id},
        )

    def _complete_response(
        self, stream: Stream, document: dict[str, Any]
    ) -> responses.Response:
        return responses.Response(
            expected_body(stream.call_id, document),
            media_type='application/json',
            headers={'x-request-id': stream.call_id},
        )

    async def _stream(self, req: requests.Request) -> responses.Response:
        stream = self._streams.get(req.path_params['id'])
        if stream is None:
            return responses.JSONResponse({'error': 'unknown stream'}, 404)
        if req.method == 'DELETE':
            if not stream.is_done:
                self.cancelled += 1
                stream.task.cancel()
                self._finish(stream, failed=True)
            return responses.JSONResponse({})
        return self._streaming_response(
            stream, int(req.query_params['offset'])
        )

    async def _load(self, req: requests.Request) -> responses.Response:
        if self._faults.refuse:
            return responses.JSONResponse({'error': 'down'}, 503)
        return responses.JSONResponse(
            {
                'generation': self._generation,
                'running': self._running,
                'queued': 0,
                'completed': self._completed,
                'uptime_s': time.monotonic() - self._started_at,
                'first_token_ms': self._first_s * 1000,
                'cached_prefixes': len(self._cache),
                'hits': self.hits,
                'started': self.started,
                'last_started_at': self.last_started_at,
                'cancelled': self.cancelled,
                'falls': self.falls,
                'peak_running': self.peak_running,
            }
        )

    async def _set_faults(self, req: requests.Request) -> responses.Response:
        document = await req.json()
        cold = document.pop('cold', False)
        if cold == 'cache':
            self._clear_cache()
        elif cold:
            self._reset()
        self._faults = dataclasses.replace(self._faults, **document)
        return responses.JSONResponse(dataclasses.asdict(self._faults))


if __name__ == '__main__':
    parser = serving.parser(__doc__)
    parser.add_argument('--token-ms', type=float, default=5.0)
    parser.add_argument('--first-ms', type=float, default=20.0)
    parser.add_argument('--capacity', type=int, default=32)
    parser.add_argument('--fall-over', type=int, default=64)
    parser.add_argument('--warm-after', type=int, default=24)
    args = parser.parse_args()
    serving.run(
        lambda: Engine(
            args.token_ms,
            args.first_ms,
            args.capacity,
            args.fall_over,
            args.warm_after,
        ).app(),
        args.port,
    )
