"""Client middleware that disables the automatic retries of aiohttp."""

from __future__ import annotations

import aiohttp


class ConnectionEnded(aiohttp.ClientError):
    """The connection ended when the request may already have been sent."""


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Fail a request whose connection ended instead of retrying it.

    aiohttp retries GET, PUT, DELETE and other methods if the connection ends
    before the response. The peer may have executed the request by then: a call
    that must run at most once would run twice, and a conditional write would
    conflict with itself.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionEnded(repr(exc)) from exc
