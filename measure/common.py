"""Figures of a measurement and their output as a table and as JSON."""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
import statistics
from collections.abc import Callable, Mapping, Sequence

BUILD_DIR = pathlib.Path(__file__).resolve().parent.parent / 'build'


@dataclasses.dataclass(frozen=True)
class Figure:
    """One measured figure.

    :ivar values: one value per seed.
    :ivar target: description of the target, '' if there is none.
    :ivar is_met: returns whether a value meets the target; None if there is
        none.
    """

    name: str
    unit: str
    values: Sequence[float]
    target: str = ''
    is_met: Callable[[float], bool] | None = None

    @property
    def value(self) -> float:
        """Return the median over the seeds."""
        return statistics.median(self.values)

    def row(self) -> Mapping[str, object]:
        """Return the JSON object, with the range over the seeds."""
        return {
            'value': round(self.value, 6),
            'low': round(min(self.values), 6),
            'high': round(max(self.values), 6),
            'unit': self.unit,
            'target': self.target,
            'met': None if self.is_met is None else self.is_met(self.value),
        }


def parse_arguments(description: str) -> argparse.Namespace:
    """Parse ``--seed`` and ``--size``."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--size', choices=('small', 'full'), default='small')
    return parser.parse_args()


def report(file_name: str, figures: Sequence[Figure]) -> int:
    """Print the figures and write them to ``build/``.

    Returns 1 if a target is missed, otherwise 0.
    """
    rows = {item.name: item.row() for item in figures}
    BUILD_DIR.mkdir(exist_ok=True)
    (BUILD_DIR / file_name).write_text(json.dumps(rows, indent=1) + '\n')
    width = max(len(name) for name in rows)
    for name, row in rows.items():
        verdict = {None: '', True: 'met', False: 'MISSED'}[row['met']]
        spread = f'[{row["low"]:.4g} .. {row["high"]:.4g}]'
        print(
            f'{name:{width}} {row["value"]:>10.4g} {row["unit"]:10} '
            f'{spread:24} {row["target"]:24} {verdict}'
        )
    return int(any(row['met'] is False for row in rows.values()))
