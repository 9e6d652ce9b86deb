"""Shared by all programs; imports no library that only some of them need."""

from __future__ import annotations

import argparse
import gc

from .. import __version__

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

GC_THRESHOLD = 20_000


def parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all programs."""
    result = argparse.ArgumentParser(prog=program, description=description)
    result.add_argument(
        '--version', action='version', version=f'{program} {__version__}'
    )
    result.add_argument(
        '--check-config',
        action='store_true',
        help='validate the settings file and exit',
    )
    return result


def reduce_garbage_collection() -> None:
    """Make garbage collections rarer and cheaper.

    Each token allocates objects, but few objects form cycles. Objects created
    by imports are excluded from all collections.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
