"""``wagtailhollow-entry``: the daemon that accepts the calls of callers."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from ..internal.entry import compose
from ..internal.settings import schema
from . import common


def main(argv: Sequence[str] | None = None) -> int:
    """Run the entry; return the exit code."""
    return common.run_daemon(
        'wagtailhollow-entry',
        'Accepts calls, routes them to targets and returns complete answers.',
        schema.EntrySettings,
        compose.Entry,
        argv,
    )


if __name__ == '__main__':
    sys.exit(main())
