"""Shared by the programs with JSON settings: options, settings, logs."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable, Sequence
from typing import Any

import uvloop

from ..internal.daemon import lifecycle
from ..internal.observability import logs
from ..internal.settings import loader
from . import process

EXIT_OK = process.EXIT_OK
EXIT_FAILED = process.EXIT_FAILED
EXIT_USAGE = process.EXIT_USAGE


def parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to these programs."""
    result = process.parser(program, description)
    result.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='settings file, JSON with comments (examples in etc/)',
    )
    return result


def load_settings(path: str, cls: type) -> Any | None:
    """Return the settings, or print the error and return None."""
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
    process.reduce_garbage_collection()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        try:
            return runner.run(_run(cfg, create))
        except ValueError as exc:
            print(f'error: {exc}', file=sys.stderr)
            return EXIT_USAGE


async def _run(cfg: Any, create: Callable[[Any], lifecycle.Daemon]) -> int:
    return await lifecycle.run(create(cfg))
