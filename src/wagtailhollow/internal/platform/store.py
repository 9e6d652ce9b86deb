"""Client of the platform's metadata store."""

from __future__ import annotations

import json
import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any, Generic, TypeVar

from ..directory import changes
from ..http1 import client, connection
from ..observability import decisions

T = TypeVar('T')

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
"""The store answers in milliseconds; slow days take 60 times as long."""

MAX_LISTING_BYTES = 4 * 1024 * 1024
"""A page has about 1 MB."""

MAX_IDLE_CONNECTIONS = 3

Decoder = Callable[[str, int, Mapping[str, Any]], T | None]
"""Decodes name, revision and spec of an object; None if it is not usable."""


class StoreClient:
    """Calls of the store's HTTP API over a few kept connections."""

    def __init__(self, address: str) -> None:
        self._http = client.HttpClient(
            address, CONNECT_TIMEOUT_S, MAX_IDLE_CONNECTIONS
        )

    def set_address(self, address: str) -> None:
        """Use another address of the store from now on."""
        self._http.set_address(address)

    async def get(
        self, kind: str, query: Mapping[str, str | int], wait_s: float = 0.0
    ) -> Mapping[str, Any]:
        """Return the answer of a GET on a kind.

        :raises SourceUnavailable: no answer, or a refusal.
        :raises HistoryGone: status 410.
        """
        path = f'/objects/{urllib.parse.quote(kind)}'
        if query:
            path += '?' + urllib.parse.urlencode(query)
        try:
            status, body = await self._http.call(
                'GET', path, wait_s + CALL_TIMEOUT_S, MAX_LISTING_BYTES
            )
        except connection.ConnectFailed as exc:
            raise changes.SourceUnavailable(str(exc)) from exc
        except (connection.ResponseLost, TimeoutError) as exc:
            raise changes.SourceUnavailable(f'{kind}: {exc!r}') from exc
        return _document(kind, status, body)


class ObjectSource(Generic[T]):
    """Documents of one kind; a :class:`changes.ChangeSource`."""

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        decode: Decoder[T],
        allows_stale: bool = False,
    ) -> None:
        """Create a source.

        :param allows_stale: whether listings may be seconds old, which costs a
            tenth.
        """
        self._store = store
        self._kind = kind
        self._decode = decode
        self._stale = {'allow_stale': 1} if allows_stale else {}

    async def read(self) -> changes.Listing[T]:
        """See :meth:`changes.ChangeSource.read`."""
        documents: dict[str, T] = {}
        revision = None
        query: dict[str, str | int] = {}
        while True:
            page = await self._store.get(self._kind, query | self._stale)
            for item in page.get('items', ()):
                name, document = self._object(item)
                if document is not None:
                    documents[name] = document
                query = {'after': name}
            # Changes during the paging come again in the first watch.
            if revision is None:
                revision = int(page['store_revision'])
            if not page.get('has_more'):
                return changes.Listing(documents, revision)

    async def watch(self, revision: int, wait_s: float) -> changes.Changes[T]:
        """See :meth:`changes.ChangeSource.watch`."""
        page = await self._store.get(
            self._kind,
            {'watch': revision, 'wait_ms': int(wait_s * 1000)},
            wait_s,
        )
        documents: dict[str, T | None] = {}
        for event in page.get('events', ()):
            name, document = self._object(event['object'])
            documents[name] = None if event.get('removed') else document
        return changes.Changes(documents, int(page['store_revision']))

    def _object(self, item: Any) -> tuple[str, T | None]:
        # Entries from other writers may have any shape.
        try:
            meta = item['metadata']
            name, revision = meta['name'], int(meta['revision'])
        except (KeyError, TypeError, ValueError) as exc:
            decisions.log(
                'object_unreadable', kind=self._kind, reason=repr(exc)
            )
            return '', None
        try:
            return name, self._decode(name, revision, item['spec'])
        except (
            KeyError,
            TypeError,
            ValueError,
            AttributeError,
            OverflowError,
        ) as exc:
            decisions.log(
                'object_unreadable',
                kind=self._kind,
                name=name,
                reason=repr(exc),
            )
            return name, None


def _document(kind: str, status: int, body: bytes) -> Mapping[str, Any]:
    if status == 410:
        raise changes.HistoryGone(kind)
    if status != 200:
        raise changes.SourceUnavailable(f'{kind}: status {status}')
    try:
        found = json.loads(body)
    except ValueError as exc:
        raise changes.SourceUnavailable(f'{kind}: {exc}') from exc
    if not isinstance(found, dict) or 'store_revision' not in found:
        raise changes.SourceUnavailable(f'{kind}: unreadable answer')
    return found
