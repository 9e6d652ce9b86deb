"""``wagtailhollow-entry``: the daemon that callers talk to."""

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
        'Accepts calls, chooses targets and delivers whole answers.',
        schema.EntrySettings,
        compose.Entry,
        argv,
    )


if __name__ == '__main__':
    sys.exit(main())
