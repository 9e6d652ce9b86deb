"""Adapter to the platform's HTTP API.

Requests: ``GET``, ``PUT`` and ``DELETE /v1/objects/<key>`` with versions as
ETags in ``If-Match`` and ``If-None-Match``, ``GET /v1/objects?prefix=``, the
long poll ``GET /v1/watch/<key>?after=&timeout=``, and ``GET /v1/hosts``.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import urllib.parse
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp

from ..daemon import send_once
from ..observability import metrics
from . import api

DEFAULT_TIMEOUT_S = 2.0
MAX_VALUE_BYTES = 1_000_000

_HOST_FIELDS = frozenset(
    field.name for field in dataclasses.fields(api.HostRow)
)

KEEP_ALIVE_S = 3.0
"""Below the usual 5 s of HTTP servers: if the server closes the connection
during a write, its outcome is unknown and has to be read back."""


class HttpObjectStore:
    """Implements :class:`api.ObjectStore` with the platform's HTTP API."""

    def __init__(self, url: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self._url = url.rstrip('/')
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    async def get(
        self, key: str, known_version: int | None = None
    ) -> api.StoredObject | None:
        """See :meth:`api.ObjectStore.get`."""
        headers = (
            {'If-None-Match': f'"{known_version}"'} if known_version else {}
        )
        async with self._request(
            'get', 'GET', self._object_path(key), headers
        ) as resp:
            if resp.status == 404:
                return None
            if resp.status == 304:
                return api.StoredObject(key, known_version or 0, None)
            return _decode_object(await _read_json(resp))

    async def list(self, prefix: str) -> list[api.StoredObject]:
        """See :meth:`api.ObjectStore.list`."""
        query = urllib.parse.urlencode({'prefix': prefix})
        async with self._request(
            'list', 'GET', f'/v1/objects?{query}'
        ) as resp:
            return [
                _decode_object(row)
                for row in (await _read_json(resp))['objects']
            ]

    async def put(
        self, key: str, value: Any, expected: int
    ) -> api.StoredObject:
        """See :meth:`api.ObjectStore.put`."""
        body = json.dumps(value, separators=(',', ':')).encode()
        if len(body) > MAX_VALUE_BYTES:
            raise ValueError(
                f'{key}: the value of {len(body)} bytes exceeds the '
                f"platform's limit of {MAX_VALUE_BYTES}"
            )
        async with self._request(
            'put',
            'PUT',
            self._object_path(key),
            _condition_headers(expected),
            body,
        ) as resp:
            answer = await _read_json(resp)
            return api.StoredObject(key, answer['version'], value)

    async def delete(self, key: str, expected: int) -> None:
        """See :meth:`api.ObjectStore.delete`."""
        async with self._request(
            'delete',
            'DELETE',
            self._object_path(key),
            _condition_headers(expected),
        ):
            return

    async def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> api.StoredObject | None:
        """See :meth:`api.ObjectStore.watch`."""
        query = urllib.parse.urlencode(
            {'after': after_version, 'timeout': timeout_s}
        )
        path = f'/v1/watch/{urllib.parse.quote(key)}?{query}'
        async with self._request(
            'watch', 'GET', path, timeout_s=timeout_s + self._timeout_s
        ) as resp:
            return (
                None
                if resp.status == 304
                else _decode_object(await _read_json(resp))
            )

    async def hosts(self, known_revision: int) -> api.HostList | None:
        """See :meth:`api.ObjectStore.hosts`."""
        headers = {'If-None-Match': f'"{known_revision}"'}
        async with self._request('hosts', 'GET', '/v1/hosts', headers) as resp:
            if resp.status == 304:
                return None
            document = await _read_json(resp)
        try:
            hosts = tuple(map(_decode_host, document['hosts']))
            return api.HostList(document['revision'], hosts)
        except (KeyError, TypeError, AttributeError) as exc:
            raise _malformed_response(exc) from exc

    async def close(self) -> None:
        """See :meth:`api.ObjectStore.close`."""
        if self._session is not None:
            await self._session.close()

    @staticmethod
    def _object_path(key: str) -> str:
        return f'/v1/objects/{urllib.parse.quote(key)}'

    @contextlib.asynccontextmanager
    async def _request(
        self,
        operation: str,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_s: float | None = None,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(keepalive_timeout=KEEP_ALIVE_S),
                middlewares=(send_once.send_once,),
            )
        result = 'unavailable'
        try:
            async with self._session.request(
                method,
                self._url + path,
                headers=dict(headers or {}),
                data=body,
                timeout=aiohttp.ClientTimeout(timeout_s or self._timeout_s),
            ) as resp:
                if resp.status == 412:
                    result = 'conflict'
                    raise api.Conflict(f'{method} {path}')
                if resp.status >= 400 and resp.status != 404:
                    raise api.PlatformUnavailable(
                        f'{method} {path}: unexpected status {resp.status}'
                    )
                result = 'ok'
                yield resp
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            result = 'unavailable'
            raise api.PlatformUnavailable(f'{method} {path}: {exc!r}') from exc
        finally:
            metrics.platform_calls.labels(operation, result).inc()


def _condition_headers(expected: int) -> dict[str, str]:
    if expected == api.ABSENT:
        return {'If-None-Match': '*'}
    return {'If-Match': f'"{expected}"'}


def _decode_object(row: Mapping[str, Any]) -> api.StoredObject:
    try:
        return api.StoredObject(row['key'], row['version'], row['value'])
    except (KeyError, TypeError) as exc:
        raise _malformed_response(exc) from exc


def _decode_host(row: Mapping[str, Any]) -> api.HostRow:
    # Ignore unknown fields, which a newer platform may add.
    return api.HostRow(
        **{name: row[name] for name in row.keys() & _HOST_FIELDS}
    )


def _malformed_response(exc: Exception) -> api.PlatformUnavailable:
    return api.PlatformUnavailable(f'malformed response: {exc!r}')


async def _read_json(resp: aiohttp.ClientResponse) -> Any:
    try:
        return json.loads(await resp.read())
    except ValueError as exc:
        raise _malformed_response(exc) from exc
