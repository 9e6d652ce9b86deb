"""Life cycle of a daemon: start, drain and stop."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from . import loop_delay

# Each program routes these records in its own way. Importing absl.logging here
# would cost each program that does not use it 3 MB.
_LOG = logging.getLogger(__name__)


class Daemon(Protocol):
    """Interface between a daemon and its life cycle."""

    async def start(self) -> None:
        """Start all parts."""

    async def drain(self) -> None:
        """Stop accepting work and wait for running work up to a time limit.

        Work may still be accepted for a notice period at the start, until the
        load balancer sends no more.
        """

    async def stop(self) -> None:
        """Stop all parts."""


async def run(daemon: Daemon, reload: Callable[[], None] | None = None) -> int:
    """Run until SIGTERM or SIGINT, then drain; return the exit code.

    Further SIGTERMs change nothing; SIGINT aborts a drain.

    :param reload: called on SIGHUP; without it SIGHUP ends the process.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    immediate_stop_requested = asyncio.Event()

    def on_signal(number: signal.Signals) -> None:
        _LOG.info('received %s', number.name)
        if number is signal.SIGINT and stop_requested.is_set():
            immediate_stop_requested.set()
        stop_requested.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal, number)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        await daemon.start()
    except OSError as exc:
        _LOG.error('cannot start: %s', exc)
        await daemon.stop()
        return 1
    _LOG.info('started')
    delays = create_background_task(loop_delay.watch())
    await stop_requested.wait()
    _LOG.info('draining')
    drain = asyncio.create_task(daemon.drain())
    immediate_stop = asyncio.create_task(immediate_stop_requested.wait())
    await asyncio.wait(
        (drain, immediate_stop), return_when=asyncio.FIRST_COMPLETED
    )
    for task in (immediate_stop, drain, delays):
        task.cancel()
    await daemon.stop()
    _LOG.info('stopped')
    return 0


def new_incarnation() -> int:
    """Return a random number that identifies one run of a process."""
    return int.from_bytes(os.urandom(8)) >> 2


def create_background_task(
    coro: Coroutine[Any, Any, None],
) -> asyncio.Task[None]:
    """Run *coro* as a task whose failure is logged.

    Without this, the exception of a task that is never awaited is lost.
    """
    task = asyncio.create_task(coro)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    exc = None if task.cancelled() else task.exception()
    if exc is not None:
        _LOG.error('background task %r failed', task.get_coro(), exc_info=exc)
