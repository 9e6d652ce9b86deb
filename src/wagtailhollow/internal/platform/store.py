"""Client of the platform's metadata store."""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable, Mapping
from typing import Any, Generic, TypeVar

from ..directory import changes
from ..http1 import client, connection
from ..observability import decisions
from . import headers, manifest, pages

T = TypeVar('T')

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
"""The store responds within milliseconds, but at times 60 times slower."""

MAX_LISTING_BYTES = 4 * 1024 * 1024
"""A page is about 1 MB."""

MAX_IDLE_CONNECTIONS = 3

NO_ERA = 0
"""Era of a store that states none."""

ERA_FIELD = 'store_era'
"""Field of a document for the era, which the store sends in a header."""

_MAX_OBJECT_BYTES = {manifest.KIND: manifest.MAX_OBJECT_BYTES}

Decoder = Callable[[str, int, Mapping[str, Any]], T | None]
"""Decodes an object from its name, revision and spec.

Returns None for an object to treat as absent, or in a watch as removed.
"""


class StoreClient:
    """Client of the store's HTTP API with a few keep-alive connections."""

    def __init__(self, address: str) -> None:
        self._http = client.HttpClient(
            address, CONNECT_TIMEOUT_S, MAX_IDLE_CONNECTIONS
        )

    def set_address(self, address: str) -> None:
        """Connect to *address* from now on."""
        self._http.set_address(address)

    async def get(
        self, kind: str, query: Mapping[str, str | int], wait_s: float = 0.0
    ) -> Mapping[str, Any]:
        """Return the document of a GET request for objects of *kind*.

        The era of the answer's head is in the field ERA_FIELD.

        :param wait_s: time for which the store may delay the response.
        :raises SourceUnavailable: no response, or an error status.
        :raises HistoryGone: status 410.
        """
        path = f'/objects/{urllib.parse.quote(kind)}'
        if query:
            path += '?' + urllib.parse.urlencode(query)
        try:
            head, body = await self._http.call(
                'GET', path, wait_s + CALL_TIMEOUT_S, MAX_LISTING_BYTES
            )
        except connection.ConnectFailed as exc:
            raise changes.SourceUnavailable(str(exc)) from exc
        except (connection.ResponseLost, TimeoutError) as exc:
            raise changes.SourceUnavailable(
                f'{kind}: no complete response: {exc!r}'
            ) from exc
        document = await _decode_response(kind, head.status, body)
        era = head.get(headers.STORE_ERA)
        return document | {ERA_FIELD: int(era) if era.isdigit() else NO_ERA}


class ObjectSource(Generic[T]):
    """Implements :class:`changes.ChangeSource` for objects of one kind."""

    def __init__(
        self,
        store: StoreClient,
        kind: str,
        decode: Decoder[T],
        allows_stale: bool = False,
    ) -> None:
        """Create a source.

        :param allows_stale: whether listings may be seconds old; such a read
            costs a tenth of a current one.
        """
        self._store = store
        self._kind = kind
        self._decode = decode
        self._stale_query = {'allow_stale': 1} if allows_stale else {}
        self._era = NO_ERA

    async def read(self) -> changes.Listing[T]:
        """See :meth:`changes.ChangeSource.read`."""
        documents: dict[str, T] = {}
        revision = None
        query: dict[str, str | int] = {}
        while True:
            page = await self._store.get(self._kind, query | self._stale_query)
            era = page.get(ERA_FIELD, NO_ERA)
            if revision is not None and era != self._era:
                raise changes.SourceUnavailable(
                    f'{self._kind}: the store came back from an older copy '
                    'between two pages'
                )
            self._era = era
            last_query = query
            for item in page.get('items', ()):
                name, document = self._decode_object(item)
                if document is not None:
                    documents[name] = document
                if name:
                    query = {'after': name}
            # The revision of the first page, so that the first watch returns
            # the changes made while the pages were read.
            if revision is None:
                revision = page['store_revision']
            if not page.get('has_more'):
                return changes.Listing(documents, revision, era)
            if query == last_query:
                raise changes.SourceUnavailable(
                    f'{self._kind}: no object of a page has a readable name'
                )

    async def watch(self, revision: int, wait_s: float) -> changes.Changes[T]:
        """See :meth:`changes.ChangeSource.watch`."""
        page = await self._store.get(
            self._kind,
            {'watch': revision, 'wait_ms': int(wait_s * 1000)},
            wait_s,
        )
        era = page.get(ERA_FIELD, NO_ERA)
        if era != self._era:
            # The revision may have been given out again in the meantime.
            raise changes.HistoryGone(f'{self._kind}: era {era}')
        documents: dict[str, T | None] = {}
        for event in page.get('events', ()):
            name, document = self._decode_object(_field(event, 'object'))
            is_removed = bool(_field(event, 'removed'))
            if name:
                documents[name] = None if is_removed else document
        return changes.Changes(documents, page['store_revision'])

    def _decode_object(self, item: Any) -> tuple[str, T | None]:
        # Objects written by other clients may have any structure.
        try:
            metadata = item['metadata']
            name = metadata['name']
            if not isinstance(name, str):
                raise TypeError(f'the name is {type(name).__name__}')
        except (KeyError, TypeError) as exc:
            decisions.log(
                'object_unreadable', kind=self._kind, reason=repr(exc)
            )
            return '', None
        try:
            revision = int(metadata['revision'])
            return name, self._decode(name, revision, item.get('spec'))
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


def _field(row: Any, name: str) -> Any:
    return row.get(name) if isinstance(row, dict) else None


async def _decode_response(
    kind: str, status: int, body: bytes
) -> Mapping[str, Any]:
    if status == 410:
        raise changes.HistoryGone(kind)
    if status != 200:
        raise changes.SourceUnavailable(f'{kind}: unexpected status {status}')
    try:
        document = await pages.decode(
            body, _MAX_OBJECT_BYTES.get(kind, pages.MAX_OBJECT_BYTES)
        )
    except ValueError as exc:
        raise changes.SourceUnavailable(
            f'{kind}: response is not JSON: {exc}'
        ) from exc
    if not isinstance(_field(document, 'store_revision'), int):
        raise changes.SourceUnavailable(
            f'{kind}: response without store_revision'
        )
    for name in ('items', 'events'):
        if not isinstance(document.get(name, []), list):
            raise changes.SourceUnavailable(f'{kind}: {name} is not a list')
    return document
