"""Adapter to a plain HTTP service, whose answers cannot be resumed."""

from __future__ import annotations

from . import http_call, registry


@registry.backend('plain_service')
class PlainService:
    """Adapter to one instance of a plain service."""

    can_resume = False

    def __init__(self, url: str) -> None:
        self._http = http_call.TargetHttp(url)

    async def start(
        self, call: registry.BackendCall
    ) -> registry.BackendAnswer:
        """See :meth:`registry.Backend.start`."""
        headers = {**call.headers, 'x-request-id': call.call_id}
        return await self._http.open(
            call.method, call.path, headers, call.body
        )

    async def resume(
        self, call_id: str, offset: int
    ) -> registry.BackendAnswer:
        """Raise BackendError: a plain service keeps no answers."""
        raise registry.BackendError(
            'a plain service cannot resume an answer', started=True
        )

    async def cancel(self, call_id: str) -> bool:
        """Return False: a plain service cannot cancel a call."""
        return False

    async def load(self) -> registry.BackendLoad:
        """See :meth:`registry.Backend.load`."""
        row = await self._http.get_json('/load')
        return registry.BackendLoad(
            generation=int(row['generation']),
            running=int(row['running']),
            completed=int(row.get('completed', 0)),
            uptime_s=float(row.get('uptime_s', 0.0)),
        )

    async def close(self) -> None:
        """See :meth:`registry.Backend.close`."""
        await self._http.close()
