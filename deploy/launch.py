"""Starts a program of the package from a checkout: ``launch.py PROGRAM``."""

import importlib
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

if __name__ == '__main__':
    sys.path.insert(0, str(ROOT / 'src'))
    program = importlib.import_module(f'wagtailhollow.cli.{sys.argv[1]}')
    sys.exit(program.main(sys.argv[2:]))
