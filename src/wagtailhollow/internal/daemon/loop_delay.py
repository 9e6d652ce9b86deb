"""Logs when the event loop is held up, so that calls wait in the process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from ..observability import decisions

PERIOD_S = 0.5
LOGGED_DELAY_S = 0.1


async def watch(
    clock: Callable[[], float] = time.monotonic,
    cpu_clock: Callable[[], float] = time.process_time,
) -> None:
    """Log delays of a periodic timer until cancelled.

    The processor time of the process tells work in the event loop from a host
    that did not run the process.
    """
    while True:
        start_s = clock()
        start_cpu_s = cpu_clock()
        await asyncio.sleep(PERIOD_S)
        delay_s = clock() - start_s - PERIOD_S
        if delay_s >= LOGGED_DELAY_S:
            decisions.log(
                'loop_delayed',
                delay_s=round(delay_s, 3),
                processor_s=round(cpu_clock() - start_cpu_s, 3),
            )
