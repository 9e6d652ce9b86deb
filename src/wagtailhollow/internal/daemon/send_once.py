"""Keeps aiohttp from sending a request a second time by itself."""

from __future__ import annotations

import aiohttp


class ConnectionEnded(aiohttp.ClientError):
    """The connection ended after the request may have been sent."""


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware: a request whose connection ended is not repeated.

    aiohttp repeats GET, PUT, DELETE and other methods when the connection
    ends before the answer. The peer may have executed the request by then: a
    call that must run at most once would run twice, and a conditional write
    would conflict with itself.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionEnded(repr(exc)) from exc
