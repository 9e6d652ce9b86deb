"""What all daemons share, without the libraries that only some load."""

from __future__ import annotations

import argparse
import gc

from .. import __version__

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
        '--check-config',
        action='store_true',
        help='validate the settings file and exit',
    )
    return result


def reduce_garbage_collection() -> None:
    """Collect less often: each token allocates, and few objects form cycles.

    What was imported is left out of every collection.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 50)
