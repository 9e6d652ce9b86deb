"""``wagtailhollow-direct-entry``: the entry that runs on the users' platform.

For that platform see ``direct_common``.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from ..internal.entry.direct import compose
from . import direct_common


def main(argv: Sequence[str] | None = None) -> int:
    """Run the entry; return the exit code."""
    return direct_common.run_daemon(
        'wagtailhollow-direct-entry',
        'Accepts calls on the deployed routes and calls targets directly.',
        compose.DirectEntry,
        argv,
    )


if __name__ == '__main__':
    sys.exit(main())
