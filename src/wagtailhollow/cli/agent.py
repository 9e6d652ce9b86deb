"""``wagtailhollow-agent``: the daemon in front of one target."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from ..internal.agent import compose
from ..internal.settings import schema
from . import common


def main(argv: Sequence[str] | None = None) -> int:
    """Run the agent; return the exit code."""
    return common.run_daemon(
        'wagtailhollow-agent',
        'Relays calls to one target; all calls to the target pass through it.',
        schema.AgentSettings,
        compose.Agent,
        argv,
    )


if __name__ == '__main__':
    sys.exit(main())
