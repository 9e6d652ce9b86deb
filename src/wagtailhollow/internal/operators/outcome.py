"""What a command of the operators' client ends with."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes of ``wagtailhollow-ctl``; documented in its help."""

    DONE = 0
    FAILED = 1
    INVALID = 2
    CONFLICT = 3
    UNSETTLED = 4
    UNAVAILABLE = 5
    NOT_IN_FORCE = 6


EXIT_CODE_HELP = """exit codes:
  0  done
  1  internal failure
  2  invalid usage, settings, table file or row; nothing was changed
  3  conflict: somebody else changed the same rows; nothing was overwritten
  4  not settled: the edit may or may not have taken effect, look at the table
     before it is sent again
  5  the platform or a daemon did not answer; nothing was changed
  6  the edit is accepted, but not confirmed to be in force everywhere"""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a command.

    :ivar document: the result for ``--json``.
    :ivar text: the result for a person.
    """

    code: ExitCode
    document: Mapping[str, Any]
    text: str


def failure(code: ExitCode, message: str, **details: Any) -> Outcome:
    """Return the outcome of a command that failed."""
    error = {'kind': code.name.lower(), 'message': message, **details}
    lines = [f'error: {message}']
    lines += [
        f'  {item}' for value in details.values() for item in _lines(value)
    ]
    return Outcome(code, {'error': error}, '\n'.join(lines))


def _lines(value: Any) -> list[Any]:
    return value if isinstance(value, list) else [value]
