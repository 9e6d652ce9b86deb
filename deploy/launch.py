"""Starts a program of the package from a checkout: ``launch.py PROGRAM``."""

import importlib
import pathlib
import sys

UNUSED_MODULES = {'direct_agent': ('ssl',)}
"""Optional modules of the standard library that a program does not use, for
each program. asyncio does without ssl, which takes 1 MB of private memory."""

ROOT = pathlib.Path(__file__).resolve().parent.parent

if __name__ == '__main__':
    sys.path.insert(0, str(ROOT / 'src'))
    sys.modules |= dict.fromkeys(UNUSED_MODULES.get(sys.argv[1], ()))
    program = importlib.import_module(f'wagtailhollow.cli.{sys.argv[1]}')
    sys.exit(program.main(sys.argv[2:]))
