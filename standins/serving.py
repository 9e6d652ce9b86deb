"""Runs a fake as a process: ``python -m standins.<name> --port N``."""

from __future__ import annotations

import argparse
from collections.abc import Callable

import uvicorn
from starlette import applications


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every fake has."""
    result = argparse.ArgumentParser(description=description)
    result.add_argument('--port', type=int, required=True)
    return result


def run(create: Callable[[], applications.Starlette], port: int) -> None:
    """Serve the application on loopback until the process is ended."""
    uvicorn.run(
        create(),
        host='127.0.0.1',
        port=port,
        log_level='warning',
        access_log=False,
        timeout_graceful_shutdown=1,
        # Longer than any pause of a test between two requests, or a request
        # may be sent on a connection that is being closed.
        timeout_keep_alive=75,
    )
