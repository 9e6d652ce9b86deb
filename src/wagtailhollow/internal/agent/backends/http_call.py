"""HTTP client of one target, shared by the adapters."""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping

import aiohttp

from ...daemon import send_once
from . import registry

CONNECT_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 60.0
ORDER_TIMEOUT_S = 5.0
# For load queries and cancellations.
SHORT_REQUEST_TIMEOUT_S = 1.0

_DROPPED_HEADERS = frozenset(
    {
        'connection', 'content-length', 'date', 'keep-alive', 'server',
        'te', 'trailer', 'transfer-encoding', 'upgrade',
    }
)  # fmt: skip


FINAL_STATUSES = range(200, 600)
"""Statuses of an answer; an engine in trouble may send others, as 000."""


class TargetHttp:
    """HTTP client session to one target."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip('/')
        self._session: aiohttp.ClientSession | None = None

    async def open(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None,
    ) -> registry.BackendAnswer:
        """Send a request and return the head of the answer.

        :raises BackendError: ``started`` is false only if no connection to
            the target could be established.
        """
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_S,
            sock_read=SILENCE_TIMEOUT_S,
        )
        try:
            resp = await self.session().request(
                method,
                self._url + path,
                headers=dict(headers),
                data=body,
                timeout=timeout,
                # Following a redirect would execute the call a second time.
                allow_redirects=False,
            )
        except aiohttp.ClientConnectorError as exc:
            raise registry.BackendError(str(exc), started=False) from exc
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            raise registry.BackendError(repr(exc), started=True) from exc
        if resp.status not in FINAL_STATUSES:
            resp.close()
            raise registry.BackendError(
                f'the status {resp.status:03} is none of an answer',
                started=True,
            )
        kept = {
            key.lower(): value
            for key, value in resp.headers.items()
            if key.lower() not in _DROPPED_HEADERS
        }
        return registry.BackendAnswer(
            resp.status, kept, _chunks(resp), resp.close
        )

    async def get_json(self, path: str) -> dict:
        """Return the JSON object at *path*.

        :raises BackendError: the target failed to answer with JSON.
        """
        try:
            async with self.session().get(
                self._url + path,
                timeout=aiohttp.ClientTimeout(total=SHORT_REQUEST_TIMEOUT_S),
            ) as resp:
                resp.raise_for_status()
                return await resp.json()
        except (TimeoutError, aiohttp.ClientError, OSError, ValueError) as exc:
            raise registry.BackendError(repr(exc), started=False) from exc

    def session(self) -> aiohttp.ClientSession:
        """Return the session, created on first use in the event loop."""
        if self._session is None:
            # A late second copy of an answer would be taken for the answer to
            # the next request on its connection.
            connector = aiohttp.TCPConnector(limit=0, force_close=True)
            self._session = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                middlewares=(send_once.send_once,),
            )
        return self._session

    async def close(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()


async def _chunks(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    try:
        async for data in resp.content.iter_any():
            yield data
    except (TimeoutError, aiohttp.ClientError, OSError) as exc:
        raise registry.BackendError(repr(exc), started=True) from exc
    finally:
        resp.close()
