"""Start, drain and stop of a daemon."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

# Each program sends these lines on in its own way; loading absl.logging here
# would cost the programs that do not use it 3 MB each.
_LOG = logging.getLogger(__name__)


class Daemon(Protocol):
    """What the life cycle needs of a daemon."""

    async def start(self) -> None:
        """Start all parts."""

    async def drain(self) -> None:
        """Take no new work and wait until the running work is done."""

    async def stop(self) -> None:
        """Stop all parts."""


async def run(daemon: Daemon, reload: Callable[[], None] | None = None) -> int:
    """Run until SIGTERM or SIGINT, then drain; return the exit code.

    *reload* is called on SIGHUP, which ends the process without it.

    A second signal ends the drain at once.
    """
    loop = asyncio.get_running_loop()
    asked = asyncio.Event()
    insisted = asyncio.Event()

    def on_signal() -> None:
        (insisted if asked.is_set() else asked).set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        await daemon.start()
    except OSError as exc:
        _LOG.error('cannot start: %s', exc)
        await daemon.stop()
        return 1
    _LOG.info('started')
    await asked.wait()
    _LOG.info('draining')
    drain = asyncio.create_task(daemon.drain())
    insist = asyncio.create_task(insisted.wait())
    await asyncio.wait((drain, insist), return_when=asyncio.FIRST_COMPLETED)
    insist.cancel()
    drain.cancel()
    await daemon.stop()
    _LOG.info('stopped')
    return 0


def new_incarnation() -> int:
    """Return a number that differs for each start of a process."""
    return int.from_bytes(os.urandom(8)) >> 2


def create_background_task(
    coro: Coroutine[Any, Any, None],
) -> asyncio.Task[None]:
    """Run *coro* as a task whose failure is logged.

    A task that nobody awaits fails without a trace otherwise.
    """
    task = asyncio.create_task(coro)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: asyncio.Task[None]) -> None:
    exc = None if task.cancelled() else task.exception()
    if exc is not None:
        _LOG.error('%r failed', task.get_coro(), exc_info=exc)
