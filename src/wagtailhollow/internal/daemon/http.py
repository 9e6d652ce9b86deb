"""The HTTP server of a daemon and the routes that all daemons have."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import socket
from collections.abc import Callable, Iterable, Iterator

import prometheus_client
import uvicorn
from starlette import applications, requests, responses, routing

_LOG = logging.getLogger(__name__)

GRACEFUL_TIMEOUT_S = 5
FLUSH_POLL_S = 0.05
ACCEPT_S = 0.05
"""Time in which connections that are being accepted when the listening socket
closes get their protocol objects."""

CLOSE_S = 0.1
"""Time that uvicorn gives connections to close before it waits for answers."""

KEEP_ALIVE_S = 75
"""Longer than load balancers keep idle connections (60 s is common). The side
that closes first may reset a request that is already on its way, so it should
be the load balancer in front of the entries."""


def health_and_metrics_routes(
    not_ready_reason: Callable[[], str | None],
) -> list[routing.Route]:
    """Return the routes for health, readiness and metrics.

    :param not_ready_reason: returns why the process should get no work, or
        None if it is ready.
    """

    async def healthz(req: requests.Request) -> responses.Response:
        return responses.PlainTextResponse('ok\n')

    async def readyz(req: requests.Request) -> responses.Response:
        reason = not_ready_reason()
        if reason is None:
            return responses.PlainTextResponse('ready\n')
        return responses.PlainTextResponse(f'{reason}\n', status_code=503)

    async def metrics(req: requests.Request) -> responses.Response:
        return responses.Response(
            prometheus_client.generate_latest(),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    return [
        routing.Route('/healthz', healthz),
        routing.Route('/readyz', readyz),
        routing.Route('/metrics', metrics),
    ]


class _AcceptingServer(uvicorn.Server):
    """Server that accepts all established connections before it stops.

    Closing a listening socket resets the connections in its accept queue,
    whose clients may have sent their requests already.
    """

    _end_s: float | None = None

    def stop_at(self, graceful_timeout_s: float) -> None:
        """Set the time from now on for which answers are waited for."""
        loop = asyncio.get_running_loop()
        self._end_s = loop.time() + graceful_timeout_s

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """See :class:`uvicorn.Server`."""
        accepted = list(
            itertools.chain.from_iterable(
                _accept_all(listener) for listener in sockets or ()
            )
        )
        for server in self.servers:
            server.close()
        loop = asyncio.get_running_loop()
        for conn in accepted:
            await loop.connect_accepted_socket(self._new_protocol, conn)
        await asyncio.sleep(ACCEPT_S)
        if self._end_s is not None:
            self.config.timeout_graceful_shutdown = max(
                0.0, self._end_s - loop.time() - CLOSE_S
            )
        await super().shutdown(sockets)

    def _new_protocol(self) -> asyncio.Protocol:
        return self.config.http_protocol_class(
            config=self.config,
            server_state=self.server_state,
            app_state=self.lifespan.state,
        )


def _accept_all(listener: socket.socket) -> Iterator[socket.socket]:
    """Yield the connections in the accept queue of *listener*."""
    while True:
        try:
            conn, _ = listener.accept()
        except OSError:
            # The queue is empty, or no file descriptor is left.
            return
        conn.setblocking(False)
        yield conn


class HttpServer:
    """Runs uvicorn in the daemon's event loop, without signal handlers."""

    def __init__(
        self,
        routes: Iterable[routing.BaseRoute],
        address: str,
        max_connections: int = 1_024,
        protocol: str | type[asyncio.Protocol] = 'httptools',
        graceful_timeout_s: float = GRACEFUL_TIMEOUT_S,
    ) -> None:
        """Create the server.

        :param max_connections: connections above this number get 503. If
            *protocol* is a class, it must limit them itself.
        :param graceful_timeout_s: how long to wait on stop for answers in
            progress.
        """
        host, _, port = address.rpartition(':')
        cfg = uvicorn.Config(
            applications.Starlette(routes=list(routes)),
            host=host,
            port=int(port),
            http=protocol,
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            limit_concurrency=(
                max_connections if isinstance(protocol, str) else None
            ),
            timeout_graceful_shutdown=graceful_timeout_s,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self._server = _AcceptingServer(cfg)
        # The daemon handles signals itself, because it drains before it stops.
        self._server.capture_signals = contextlib.nullcontext
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to listen; return once connections are accepted.

        :raises OSError: the address cannot be bound.
        """
        self._task = asyncio.create_task(self._serve())
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError('the HTTP server ended before it was ready')
            await asyncio.sleep(0.01)

    async def flush(self) -> None:
        """Wait until all answers are handed to the operating system.

        The last bytes for a slow client are buffered in the process and
        would be lost when it ends. Connections that are already closing are
        not waited for.
        """
        while any(
            conn.transport.get_write_buffer_size()
            for conn in self._server.server_state.connections
            if not conn.transport.is_closing()
        ):
            await asyncio.sleep(FLUSH_POLL_S)

    async def stop(self, graceful_timeout_s: float | None = None) -> None:
        """Stop listening and close the connections.

        :param graceful_timeout_s: how long to wait for answers in progress;
            None for the time that the server was created with.
        """
        if graceful_timeout_s is not None:
            self._server.stop_at(graceful_timeout_s)
        self._server.should_exit = True
        if self._task is None:
            return
        (result,) = await asyncio.gather(self._task, return_exceptions=True)
        if isinstance(result, Exception):
            _LOG.error('the HTTP server failed', exc_info=result)

    async def _serve(self) -> None:
        cfg = self._server.config
        listener = socket.create_server(
            (cfg.host, cfg.port), backlog=cfg.backlog
        )
        listener.setblocking(False)
        await self._server.serve([listener])
