"""Parses the headers and bodies of callers' requests."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from ... import errors

MAX_PREFIX_CHARS = 256
DEFAULT_MAX_TOKENS = 1_024
MAX_KEY_CHARS = 255
MAX_REQUESTED_TOKENS = 1_000_000_000
MAX_REPR_CHARS = 80
BYTES_PER_TOKEN_ESTIMATE = 4

Scope = Mapping[str, Any]
"""ASGI scope of one request."""

Receive = Callable[[], Awaitable[Mapping[str, Any]]]
"""Returns the next ASGI message from a caller."""


def header(scope: Scope, name: bytes) -> str:
    """Return the first value of a header, or an empty string."""
    for key, value in scope['headers']:
        if key == name:
            return value.decode('latin-1')
    return ''


def head_bytes(scope: Scope) -> int:
    """Return the size of request line and headers in bytes."""
    fields = sum(len(key) + len(value) + 4 for key, value in scope['headers'])
    return fields + len(scope['raw_path']) + len(scope['query_string'])


def has_body(scope: Scope) -> bool:
    """Return whether the headers announce a body."""
    length = header(scope, b'content-length')
    return length not in ('', '0') or bool(header(scope, b'transfer-encoding'))


def idempotency_key(scope: Scope) -> str | None:
    """Return the caller's key, or None without the header.

    An empty or repeated key is refused. If it were ignored, a retried request
    would run again although the caller relies on the key.
    """
    keys = [
        value.decode('latin-1')
        for name, value in scope['headers']
        if name == b'idempotency-key'
    ]
    if not keys:
        return None
    if len(keys) > 1 or not 0 < len(keys[0]) <= MAX_KEY_CHARS:
        raise bad_request(
            f'Idempotency-Key has to be given once, with 1 to {MAX_KEY_CHARS} '
            f'characters; got it {len(keys)} times, the longest with '
            f'{max(map(len, keys))} characters'
        )
    return keys[0]


def target_path(scope: Scope) -> str:
    """Return path and query for the target, encoded as the caller sent them.

    In the decoded path, ``?`` and ``%3F`` could not be told apart.
    """
    raw = scope['raw_path'].decode('latin-1')
    path = '/' + raw.removeprefix('/v1/services/').partition('/')[2]
    query = scope['query_string'].decode('latin-1')
    return f'{path}?{query}' if query else path


def bounded_repr(value: Any) -> str:
    """Return ``repr(value)``, truncated for use in error messages."""
    text = repr(value)
    return text if len(text) <= MAX_REPR_CHARS else text[:MAX_REPR_CHARS] + '…'


async def read_body(scope: Scope, receive: Receive, limit: int) -> bytes:
    """Return the whole body of a request.

    A body whose announced length exceeds the limit is not read.

    :raises Refusal: BODY_TOO_LARGE.
    :raises ConnectionAbortedError: the caller disconnected.
    """
    length = header(scope, b'content-length')
    if length.isdigit() and int(length) > limit:
        raise body_too_large(limit)
    body = bytearray()
    has_more_body = True
    while has_more_body:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise ConnectionAbortedError('the caller disconnected')
        body += message.get('body', b'')
        if len(body) > limit:
            raise body_too_large(limit)
        has_more_body = message.get('more_body', False)
    return bytes(body)


async def is_done_before_disconnect(
    work: asyncio.Task[None], receive: Receive
) -> bool:
    """Wait until *work* is done or the caller disconnects.

    The work is not cancelled, even if this coroutine is.
    """
    disconnect = asyncio.create_task(_wait_for_disconnect(receive))
    try:
        await asyncio.wait(
            (work, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        disconnect.cancel()
    return work.done()


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())['type'] != 'http.disconnect':
        pass


def json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in *body*.

    :raises Refusal: BAD_REQUEST.
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise bad_request(f'the body is not valid JSON: {exc}') from exc
    if not isinstance(document, dict):
        raise bad_request('the body is not a JSON object')
    return document


def worst_case_tokens(document: Mapping[str, Any], body: bytes) -> int:
    """Return the prompt estimate plus ``max_tokens``.

    :raises Refusal: BAD_REQUEST for an invalid ``max_tokens``.
    """
    max_tokens = document.get('max_tokens', DEFAULT_MAX_TOKENS)
    if (
        type(max_tokens) is not int
        or not 1 <= max_tokens <= MAX_REQUESTED_TOKENS
    ):
        raise bad_request(
            'max_tokens has to be a whole number from 1 to '
            f'{MAX_REQUESTED_TOKENS}, got {bounded_repr(max_tokens)}'
        )
    return max_tokens + len(body) // BYTES_PER_TOKEN_ESTIMATE


def prompt_prefix(document: Mapping[str, Any]) -> str:
    """Return the start of the prompt, for prefix affinity."""
    messages = document.get('messages')
    if not isinstance(messages, list):
        raise bad_request('messages has to be a list')
    try:
        # Escaped to ASCII, since a lone surrogate cannot be encoded as UTF-8.
        return json.dumps(messages[:2])[:MAX_PREFIX_CHARS]
    except RecursionError as exc:
        raise bad_request('messages are nested too deeply') from exc


def bad_request(message: str) -> errors.Refusal:
    """Return a BAD_REQUEST refusal."""
    return errors.Refusal(errors.ErrorKind.BAD_REQUEST, message)


def body_too_large(limit: int) -> errors.Refusal:
    """Return a BODY_TOO_LARGE refusal."""
    return errors.Refusal(
        errors.ErrorKind.BODY_TOO_LARGE,
        f'the body exceeds the limit of {limit} bytes',
    )
