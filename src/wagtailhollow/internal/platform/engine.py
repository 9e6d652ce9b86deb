"""HTTP client for queries and orders to an engine."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from typing import Any

from ..experts.live import model
from ..http1 import client, connection

RESPONSE_TIMEOUT_S = 0.06
"""An engine responds to its own host within about 5 ms."""

ORDER_TIMEOUT_SHARE = 0.5
"""Share of the time-out that applies to orders. An engine that has not
responded to an order by then does not respond later, and its next report shows
whether the order took effect."""

MAX_RESPONSE_BYTES = 1024 * 1024

_SUCCESS_STATUSES = (200, 202)
_STATE_OPEN = 'open'


class EngineClient:
    """Implements :class:`model.RankEngine` for the engine at one address."""

    def __init__(
        self, address: str, timeout_s: float = RESPONSE_TIMEOUT_S
    ) -> None:
        self._timeout_s = timeout_s
        self._http = client.HttpClient(address, timeout_s, max_idle=1)

    async def report(self) -> model.RankReport | None:
        """See :class:`model.RankEngine`."""
        row = await self._query('/report')
        group = row.get('group')
        if not group:
            return None
        armed = row.get('armed')
        return model.RankReport(
            group=group['name'],
            epoch=group['epoch'],
            rank=group['rank'],
            size=row['size'],
            is_open=group['state'] == _STATE_OPEN,
            step=row['step'],
            map_version=row['map'],
            prepared=row['prepared'],
            armed=(
                model.ArmedMap(armed['version'], armed['step'])
                if armed
                else None
            ),
            held_step=row['held'],
            running=row['running'],
            waiting=row['queued'],
            memory_used=row['kv_used'],
            start_time_ms=row.get('born', 0),
        )

    async def activation_counts(self) -> model.ActivationCounts:
        """See :class:`model.RankEngine`."""
        row = await self._query('/picked')
        return model.ActivationCounts(row['epoch'], row['counts'])

    async def maps(self) -> model.RankMaps:
        """See :class:`model.RankEngine`."""
        row = await self._query('/picked?lists=1')
        prepared = row.get('prepared')
        return model.RankMaps(
            row['epoch'],
            row['map']['version'],
            row['map']['experts'],
            prepared['version'] if prepared else None,
        )

    async def prepare(
        self, epoch: int, version: int, experts: Sequence[model.ExpertsByLayer]
    ) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        # The platform indexes a map by set of layers first, then by rank.
        by_layer = list(zip(*experts, strict=True))
        return await self._send_order(
            'prepare', epoch, version=version, map=by_layer
        )

    async def arm(
        self, epoch: int, version: int, step: int
    ) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._send_order('arm', epoch, version=version, step=step)

    async def disarm(self, epoch: int, version: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._send_order('disarm', epoch, version=version)

    async def hold(self, epoch: int, step: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._send_order('hold', epoch, step=step)

    async def release(self, epoch: int, step: int) -> model.OrderResult:
        """See :class:`model.RankEngine`."""
        return await self._send_order('go', epoch, step=step)

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()

    async def _send_order(
        self, operation: str, epoch: int, **fields: Any
    ) -> model.OrderResult:
        document = {'op': operation, 'epoch': epoch, **fields}
        body = json.dumps(document, separators=(',', ':')).encode()
        try:
            status, _ = await self._request(
                'POST', '/order', body, self._timeout_s * ORDER_TIMEOUT_SHARE
            )
        except connection.ConnectFailed:
            return model.OrderResult.FAILED
        except (connection.ResponseLost, TimeoutError):
            return model.OrderResult.UNKNOWN
        if status in _SUCCESS_STATUSES:
            return model.OrderResult.DONE
        if status == 409:
            return model.OrderResult.CONFLICT
        return model.OrderResult.FAILED

    async def _query(self, path: str) -> Mapping[str, Any]:
        try:
            status, body = await self._request(
                'GET', path, b'', self._timeout_s
            )
            if status == 200:
                return json.loads(body)
        except (
            connection.ConnectFailed,
            connection.ResponseLost,
            TimeoutError,
            ValueError,
            RecursionError,
        ) as exc:
            raise model.EngineUnavailable(
                f'{path}: no usable response: {exc!r}'
            ) from exc
        raise model.EngineUnavailable(f'{path}: unexpected status {status}')

    async def _request(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        head, answer = await self._http.call(
            method, path, timeout_s, MAX_RESPONSE_BYTES, body
        )
        return head.status, answer
