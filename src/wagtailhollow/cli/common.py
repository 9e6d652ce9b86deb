"""What the command lines share: settings, logs, exit codes."""

from __future__ import annotations

import argparse
import asyncio
import gc
import sys
from collections.abc import Callable, Sequence
from typing import Any

import uvloop

from .. import __version__
from ..internal.daemon import lifecycle
from ..internal.observability import logs
from ..internal.settings import loader

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

GC_THRESHOLD = 20_000


def parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options that every program has."""
    result = argparse.ArgumentParser(prog=program, description=description)
    result.add_argument(
        '--version', action='version', version=f'{program} {__version__}'
    )
    result.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='settings file, JSON with comments (examples in etc/)',
    )
    result.add_argument(
        '--check-config',
        action='store_true',
        help='validate the settings file and exit',
    )
    return result


def load_settings(path: str, cls: type) -> Any | None:
    """Return the settings, or None after printing what is wrong."""
    result = loader.load(path, cls)
    if result.is_error():
        print(f'error: {result.error}', file=sys.stderr)
        return None
    return result.ok


def run_daemon(
    program: str,
    description: str,
    cls: type,
    create: Callable[[Any], lifecycle.Daemon],
    argv: Sequence[str] | None,
) -> int:
    """Parse, validate and run a daemon; return the exit code."""
    args = parser(program, description).parse_args(argv)
    cfg = load_settings(args.settings, cls)
    if cfg is None:
        return EXIT_USAGE
    if args.check_config:
        print(f'{args.settings}: ok')
        return EXIT_OK
    logs.configure(program, cfg.node, cfg.log_level)
    _relax_garbage_collection()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            return runner.run(_run(cfg, create))
        except ValueError as exc:
            print(f'error: {exc}', file=sys.stderr)
            return EXIT_USAGE


def _relax_garbage_collection() -> None:
    """Collect less often: each token allocates, and few objects form cycles.

    What was imported is left out of every collection.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)


async def _run(cfg: Any, create: Callable[[Any], lifecycle.Daemon]) -> int:
    return await lifecycle.run(create(cfg))
