"""Logs as JSON lines through absl.logging.

Each line has ``time`` (UTC, ISO 8601), ``level``, ``program``, ``node``,
``message`` and, inside the handling of a call, ``request_id``.
"""

from __future__ import annotations

import contextvars
import datetime
import json
import logging as stdlib_logging
import sys

from absl import flags, logging

from .redaction import redact

request_id: contextvars.ContextVar[str] = contextvars.ContextVar(
    'request_id', default=''
)


class _JsonFormatter(stdlib_logging.Formatter):
    def __init__(self, program: str, node: str) -> None:
        super().__init__()
        self._program = program
        self._node = node

    def format(self, record: stdlib_logging.LogRecord) -> str:
        time = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line = {
            'time': time.isoformat(timespec='milliseconds'),
            'level': record.levelname.lower(),
            'program': self._program,
            'node': self._node,
            'message': redact(record.getMessage()),
        }
        if request_id.get():
            line['request_id'] = request_id.get()
        if record.exc_info:
            line['exception'] = redact(self.formatException(record.exc_info))
        return json.dumps(line, ensure_ascii=False)


def configure(program: str, node: str, level: str) -> None:
    """Write all log records of the process to stderr as JSON lines."""
    # absl warns on each log call until its flags are parsed, which never
    # happens because the programs use argparse.
    flags.FLAGS.mark_as_parsed()
    handler = logging.get_absl_handler()
    handler.setFormatter(_JsonFormatter(program, node))
    handler.python_handler.stream = sys.stderr
    logging.use_absl_handler()
    logging.set_verbosity(getattr(logging, level.upper()))
    logging.set_stderrthreshold('fatal')
    for name in ('uvicorn', 'uvicorn.error', 'uvicorn.access', 'aiohttp'):
        stdlib_logging.getLogger(name).setLevel(stdlib_logging.WARNING)
