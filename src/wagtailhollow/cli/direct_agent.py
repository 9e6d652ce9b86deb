"""``wagtailhollow-direct-agent``: the agent that runs on the users' platform.

For that platform see ``direct_common``.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

from ..internal.agent.direct import compose
from . import direct_common


def main(argv: Sequence[str] | None = None) -> int:
    """Run the agent; return the exit code."""
    return direct_common.run_daemon(
        'wagtailhollow-direct-agent',
        'Reports the load of the local engine and changes its expert map.',
        compose.DirectAgent,
        argv,
    )


if __name__ == '__main__':
    sys.exit(main())
