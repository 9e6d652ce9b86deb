"""What the programs on the users' platform share."""

from __future__ import annotations

import argparse
import asyncio
import gc
import sys
from collections.abc import Callable, Sequence

from .. import __version__
from ..internal.daemon import lifecycle, settings_watch
from ..internal.hostcfg import model
from ..internal.observability import decisions, logs
from ..internal.platform import settings

EXIT_OK = 0
EXIT_USAGE = 2
GC_THRESHOLD = 20_000


def run_daemon(
    program: str,
    description: str,
    create: Callable[[model.HostSettings], settings_watch.Adjustable],
    argv: Sequence[str] | None,
) -> int:
    """Parse, validate and run a daemon; return the exit code."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument(
        '--version', action='version', version=f'{program} {__version__}'
    )
    parser.add_argument(
        '--settings',
        metavar='FILE',
        help='settings file (TOML) of the platform; default: the file that '
        f'{settings.PATH_VARIABLE} names',
    )
    parser.add_argument(
        '--check-config',
        action='store_true',
        help='validate the settings file and exit',
    )
    args = parser.parse_args(argv)
    try:
        file = args.settings or settings.path()
        cfg = settings.load(file)
    except settings.SettingsError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return EXIT_USAGE
    if args.check_config:
        print(f'{file}: ok')
        return EXIT_OK
    logs.configure(program, cfg.node, 'info')
    decisions.identify(program=program, node=cfg.node)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
    return asyncio.run(_run(create(cfg), file))


async def _run(daemon: settings_watch.Adjustable, file: str) -> int:
    watch = settings_watch.SettingsWatch(file, settings.load, daemon.adjust)
    task = lifecycle.background(watch.run())
    try:
        return await lifecycle.run(daemon, watch.reload)
    finally:
        task.cancel()
