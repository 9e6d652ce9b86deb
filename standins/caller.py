"""Client for chat completions and orders that records timings and errors."""

from __future__ import annotations

import dataclasses
import json
import time
from collections.abc import Mapping
from typing import Any

import aiohttp

from . import deployment


@dataclasses.dataclass
class Answer:
    """The answer that a caller received.

    :ivar status: HTTP status, 0 if no answer came.
    :ivar execution: the ``X-Execution`` header of an error.
    :ivar text: text of the completion, or the body.
    :ivar raw: the body as received.
    :ivar is_complete: whether a success ended with its last event or byte.
    :ivar error: error kind or exception, '' if there was no error.
    :ivar first_s: time to the first token.
    :ivar gaps_s: times between tokens.
    """

    status: int = 0
    execution: str = ''
    text: str = ''
    raw: bytes = b''
    is_complete: bool = False
    error: str = ''
    first_s: float = 0.0
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


def chat_request(text: str, tokens: int, stream: bool = True) -> dict:
    """Return the body of a chat completion."""
    return {
        'model': deployment.MODEL,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': tokens,
        'stream': stream,
    }


class Caller:
    """A client that sends calls of one organisation."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        organisation: str = 'council',
        timeout_s: float = 60.0,
    ) -> None:
        self._session = session
        self._headers = {'Authorization': f'Bearer key-{organisation}'}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def chat(self, url: str, document: dict[str, Any]) -> Answer:
        """Send a chat completion and read the complete answer."""
        answer = Answer()
        start_s = time.monotonic()
        try:
            async with self._session.post(
                f'{url}/v1/chat/completions',
                json=document,
                headers=self._headers,
                timeout=self._timeout,
            ) as resp:
                answer.status = resp.status
                answer.headers = resp.headers
                answer.execution = resp.headers.get('X-Execution', '')
                if document.get('stream') and resp.status == 200:
                    await _read_stream(resp, answer, start_s)
                else:
                    _read_body(await resp.read(), answer)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            answer.error = answer.error or repr(exc)
        return answer

    async def order(
        self, url: str, key: str, idempotency_key: str | None = None
    ) -> Answer:
        """Place an order that must run at most once."""
        headers = dict(self._headers)
        if idempotency_key is not None:
            headers['Idempotency-Key'] = idempotency_key
        answer = Answer()
        try:
            async with self._session.post(
                f'{url}/v1/services/{deployment.PLAIN_SERVICE}/orders',
                json={'key': key},
                headers=headers,
                timeout=self._timeout,
            ) as resp:
                answer.status = resp.status
                answer.headers = resp.headers
                answer.execution = resp.headers.get('X-Execution', '')
                answer.text = (await resp.read()).decode()
                answer.is_complete = resp.status < 300
                if resp.status >= 400:
                    answer.error = _error_kind(answer.text)
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            answer.error = repr(exc)
        return answer


async def _read_stream(
    resp: aiohttp.ClientResponse, answer: Answer, start_s: float
) -> None:
    last_s = 0.0
    is_error = False
    async for line in resp.content:
        answer.raw += line
        if line.startswith(b'event: error'):
            is_error = True
        if not line.startswith(b'data: '):
            continue
        now_s = time.monotonic()
        if not last_s:
            answer.first_s = now_s - start_s
        else:
            answer.gaps_s.append(now_s - last_s)
        last_s = now_s
        data = line.removeprefix(b'data: ').strip()
        if is_error:
            answer.error = json.loads(data)['error']['kind']
        elif data == b'[DONE]':
            answer.is_complete = True
        else:
            chunk = json.loads(data)
            answer.text += chunk['choices'][0]['delta']['content']


def _read_body(body: bytes, answer: Answer) -> None:
    answer.raw = body
    if answer.status != 200:
        answer.error = _error_kind(body.decode(errors='replace'))
        return
    document = json.loads(body)
    answer.text = document['choices'][0]['message']['content']
    answer.is_complete = True


def _error_kind(body: str) -> str:
    try:
        return json.loads(body)['error']['kind']
    except (ValueError, KeyError, TypeError):
        return f'unexpected body: {body[:200]}'
