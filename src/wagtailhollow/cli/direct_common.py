"""Shared by the direct programs, which run on the users' platform.

That platform defines the settings file and has the metadata store, see
``internal.platform``. It is not the platform that ``platform_url`` names in
the settings of the other programs.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Sequence

from ..internal.daemon import lifecycle, settings_watch
from ..internal.hostcfg import model
from ..internal.observability import decisions
from ..internal.platform import settings
from . import process


def run_daemon(
    program: str,
    description: str,
    create: Callable[
        [model.HostSettings], settings_watch.ReconfigurableDaemon
    ],
    argv: Sequence[str] | None,
) -> int:
    """Parse, validate and run a daemon; return the exit code."""
    parser = process.parser(program, description)
    parser.add_argument(
        '--settings',
        metavar='FILE',
        help="settings file (TOML) of the users' platform; default: the file "
        f'that {settings.PATH_VARIABLE} names',
    )
    args = parser.parse_args(argv)
    try:
        file = args.settings or settings.path()
        cfg = settings.load(file)
    except settings.SettingsError as exc:
        print(f'error: {exc}', file=sys.stderr)
        return process.EXIT_USAGE
    if args.check_config:
        print(f'{file}: ok')
        return process.EXIT_OK
    decisions.set_common_fields(program=program, node=cfg.node)
    decisions.capture_log_records()
    process.reduce_garbage_collection()
    return asyncio.run(_run(create(cfg), file))


async def _run(daemon: settings_watch.ReconfigurableDaemon, file: str) -> int:
    watch = settings_watch.SettingsWatch(
        file, settings.load, daemon.reconfigure
    )
    task = lifecycle.create_background_task(watch.run())
    try:
        return await lifecycle.run(daemon, watch.reload)
    finally:
        task.cancel()
