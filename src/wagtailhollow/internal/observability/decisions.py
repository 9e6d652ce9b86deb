"""Writes one JSON line to stdout for each event, without blocking.

Events are decisions, life-cycle changes and log records. Lines have ``event``,
``time_s`` (Unix time) and the fields of the event, such as the inputs of a
decision. A token bucket limits the rate; lines above it are dropped, and the
next line written has their number. Lines are buffered by the kernel only: if
the pipe is full, a line is dropped instead of blocking the event loop.
"""

from __future__ import annotations

import json
import logging
import os
import time
from collections.abc import Callable, Mapping
from typing import Any

from .redaction import redact

MAX_LINES_PER_S = 400
"""A busy entry handles 100 calls/s and writes about 3 lines for each."""

BURST_LINES = 800
STDOUT_FD = 1


class DecisionLog:
    """Writes events as JSON lines to a file descriptor."""

    def __init__(self, fd: int = STDOUT_FD) -> None:
        self._fd = fd
        self._common_fields: dict[str, Any] = {}
        self._available_lines = float(BURST_LINES)
        self._refilled_at_s = time.monotonic()
        self._dropped = 0
        self.observers: list[Callable[[str, Mapping[str, Any]], None]] = []

    def set_common_fields(self, **fields: Any) -> None:
        """Set the fields of every line; make the descriptor non-blocking."""
        self._common_fields = fields
        os.set_blocking(self._fd, False)

    def log(self, event: str, **fields: Any) -> None:
        """Write one line, or count it as dropped."""
        for observe in self.observers:
            observe(event, fields)
        now_s = time.monotonic()
        self._available_lines = min(
            BURST_LINES,
            self._available_lines
            + (now_s - self._refilled_at_s) * MAX_LINES_PER_S,
        )
        self._refilled_at_s = now_s
        if self._available_lines < 1:
            self._dropped += 1
            return
        self._available_lines -= 1
        line = {'event': event, 'time_s': round(time.time(), 3)}
        if self._dropped:
            line['lines_dropped'] = self._dropped
        line |= self._common_fields | fields
        data = json.dumps(line, separators=(',', ':'), default=str) + '\n'
        try:
            os.write(self._fd, data.encode())
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1


class AlreadyLogged(Exception):
    """Base of exceptions whose event is logged where they are raised."""


class LogRecordHandler(logging.Handler):
    """Writes log records of the standard library as ``message`` events.

    Records of an exception that is :class:`AlreadyLogged` are left out.
    """

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log
        self._formatter = logging.Formatter()

    def emit(self, record: logging.LogRecord) -> None:
        """See :class:`logging.Handler`."""
        fields = {'level': record.levelname.lower()}
        if record.exc_info and isinstance(record.exc_info[1], AlreadyLogged):
            return
        if record.exc_info:
            fields['exception'] = redact(
                self._formatter.formatException(record.exc_info)
            )
        self._log.log('message', text=redact(record.getMessage()), **fields)


_LOG = DecisionLog()
set_common_fields = _LOG.set_common_fields
log = _LOG.log
observers = _LOG.observers


def capture_log_records() -> None:
    """Also write the log records of libraries and of the life cycle."""
    logging.basicConfig(
        level=logging.INFO, handlers=[LogRecordHandler(_LOG)], force=True
    )
    for name in ('uvicorn', 'uvicorn.error', 'uvicorn.access'):
        logging.getLogger(name).setLevel(logging.WARNING)
