"""Results and exit codes of the operators' client."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Mapping
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes of ``wagtailhollow-ctl``, as listed in its help."""

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
  3  conflict: the same rows were changed by somebody else; nothing was
     overwritten
  4  outcome unknown: the edit may or may not have taken effect; check the
     table before it is sent again
  5  the platform or a daemon did not answer, or a daemon refused; the table
     was not changed, but a direct withdrawal may have taken effect
  6  the edit was accepted but is not confirmed to be in force at all nodes"""


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Result of a command.

    :ivar document: the output with ``--json``.
    :ivar text: the output without it.
    """

    code: ExitCode
    document: Mapping[str, Any]
    text: str


def failure(code: ExitCode, message: str, **details: Any) -> Outcome:
    """Return the outcome of a command that failed."""
    error = {'kind': code.name.lower(), 'message': message, **details}
    lines = [f'error: {message}']
    lines += [
        f'  {item}' for value in details.values() for item in _as_list(value)
    ]
    return Outcome(code, {'error': error}, '\n'.join(lines))


def _as_list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else [value]
