"""Runs a fake as a process: ``python -m standins.<name> --port N``."""

from __future__ import annotations

import argparse
import contextlib
from collections.abc import Callable

import uvicorn
from starlette import applications
from uvicorn.protocols.http import httptools_impl


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all fakes."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument('--port', type=int, required=True)
    return result


class AbortableProtocol(httptools_impl.HttpToolsProtocol):
    """Lets a handler abort its connection: ``scope['abort_connection']()``."""

    def on_message_begin(self) -> None:
        """Add the function to the scope of the request."""
        super().on_message_begin()
        self.scope['abort_connection'] = self.transport.abort


def server(
    app: applications.Starlette, host: str, port: int
) -> uvicorn.Server:
    """Return a server that leaves signal handlers alone."""
    result = uvicorn.Server(_config(app, host, port))
    result.capture_signals = contextlib.nullcontext
    return result


def run(create: Callable[[], applications.Starlette], port: int) -> None:
    """Serve an application on loopback until the process is terminated."""
    uvicorn.Server(_config(create(), '127.0.0.1', port)).run()


def _config(
    app: applications.Starlette, host: str, port: int
) -> uvicorn.Config:
    return uvicorn.Config(
        app,
        host=host,
        port=port,
        log_level='warning',
        access_log=False,
        http=AbortableProtocol,
        timeout_graceful_shutdown=1,
        # Longer than any pause between two requests of a test. Otherwise a
        # request could be sent on a connection that is being closed.
        timeout_keep_alive=75,
    )
