"""One JSON line on stdout for each decision, bounded and never blocking.

Lines have ``event``, ``time_s`` (Unix time) and the inputs of the decision.
Lines over the rate are dropped and their number is written later. Output is
queued by the kernel; a pipe that is full loses the line instead of blocking
the event loop.
"""

from __future__ import annotations

import json
import logging
import os
import time
from collections.abc import Callable, Mapping
from typing import Any

from .redaction import redact

LINES_PER_S = 400
"""Rate of lines; a busy entry writes about 3 for each of its 100 calls/s."""

BURST_LINES = 800
STDOUT_FD = 1


class DecisionLog:
    """Writes decision lines to a file descriptor."""

    def __init__(self, fd: int = STDOUT_FD) -> None:
        self._fd = fd
        self._fields: dict[str, Any] = {}
        self._allowed = float(BURST_LINES)
        self._refilled_s = time.monotonic()
        self._dropped = 0
        self.observers: list[Callable[[str, Mapping[str, Any]], None]] = []

    def set_common_fields(self, **fields: Any) -> None:
        """Set fields that every line carries."""
        self._fields = fields
        os.set_blocking(self._fd, False)

    def log(self, event: str, **fields: Any) -> None:
        """Write one line, or count it as dropped."""
        for observe in self.observers:
            observe(event, fields)
        now_s = time.monotonic()
        self._allowed = min(
            BURST_LINES,
            self._allowed + (now_s - self._refilled_s) * LINES_PER_S,
        )
        self._refilled_s = now_s
        if self._allowed < 1:
            self._dropped += 1
            return
        self._allowed -= 1
        line = {'event': event, 'time_s': round(time.time(), 3)}
        if self._dropped:
            line['lines_dropped'] = self._dropped
        line |= self._fields | fields
        data = json.dumps(line, separators=(',', ':'), default=str) + '\n'
        try:
            os.write(self._fd, data.encode())
            self._dropped = 0
        except BlockingIOError:
            self._dropped += 1


class MessageHandler(logging.Handler):
    """Writes the lines of the standard library's loggers as decisions."""

    def __init__(self, log: DecisionLog) -> None:
        super().__init__()
        self._log = log
        self._formatter = logging.Formatter()

    def emit(self, record: logging.LogRecord) -> None:
        """See :class:`logging.Handler`."""
        fields = {'level': record.levelname.lower()}
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
    """Write what the libraries and the daemon's life cycle log, too."""
    logging.basicConfig(
        level=logging.INFO, handlers=[MessageHandler(_LOG)], force=True
    )
    for name in ('uvicorn', 'uvicorn.error', 'uvicorn.access'):
        logging.getLogger(name).setLevel(logging.WARNING)
