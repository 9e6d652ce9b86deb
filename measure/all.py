"""``make measure``: runs all measurements and collects their figures.

The figures are written to build/measure.json, the bar charts to
build/measure.html. Each measurement can also be run separately, for example
``python -m measure.limits --seed 3 --size full``.
"""

from __future__ import annotations

import argparse
import html
import itertools
import json
import subprocess
import sys
from collections.abc import Iterable, Mapping
from typing import Any

from . import common

MODULES = ('rebalancing', 'routing', 'limits', 'retries', 'data_centre')
BAR_WIDTH = 320
ROW_HEIGHT = 18
LABEL_WIDTH = 420


def run(module: str, seed: int, size: str) -> tuple[int, dict[str, Any]]:
    """Run one measurement; return its exit code and its figures."""
    print(f'== measure.{module} --seed {seed} --size {size}', flush=True)
    done = subprocess.run(
        [sys.executable, '-m', f'measure.{module}', '--seed', str(seed),
         '--size', size]
    )  # fmt: skip
    name = f'measure-{module.replace("_", "-")}.json'
    return done.returncode, json.loads((common.BUILD_DIR / name).read_text())


def bar_chart(rows: Iterable[tuple[str, Mapping[str, Any]]]) -> str:
    """Return a bar chart as SVG; the lines show the range over the seeds."""
    rows = list(rows)
    largest = max((abs(row['high']) for _, row in rows), default=0) or 1
    scale = BAR_WIDTH / largest
    parts = [
        f'<svg width="{LABEL_WIDTH + BAR_WIDTH + 180}" '
        f'height="{ROW_HEIGHT * len(rows)}">'
    ]
    for index, (name, row) in enumerate(rows):
        y = index * ROW_HEIGHT
        fill = {None: '#89a', True: '#4a8', False: '#c54'}[row['met']]
        middle = y + ROW_HEIGHT / 2
        low, high = row['low'] * scale, row['high'] * scale
        text = f'{row["value"]:.4g} {row["unit"]} {row["target"]}'
        parts.append(
            f'<text x="0" y="{y + 13}">{html.escape(name)}</text>'
            f'<rect x="{LABEL_WIDTH}" y="{y + 3}" fill="{fill}" '
            f'width="{abs(row["value"]) * scale:.1f}" height="12"/>'
            f'<line x1="{LABEL_WIDTH + low:.1f}" y1="{middle}" '
            f'x2="{LABEL_WIDTH + high:.1f}" y2="{middle}" stroke="black"/>'
            f'<text x="{LABEL_WIDTH + BAR_WIDTH + 8}" y="{y + 13}">'
            f'{html.escape(text)}</text>'
        )
    return ''.join([*parts, '</svg>'])


def html_page(figures: Mapping[str, Mapping[str, Any]]) -> str:
    """Return the HTML page: a chart per figure with a bar per variant."""

    def title(item: tuple[str, Mapping[str, Any]]) -> str:
        parts = item[0].split('/')
        return f'{parts[0]}: {parts[-1]} ({item[1]["unit"]})'

    charts = [
        f'<h2>{html.escape(name)}</h2>{bar_chart(rows)}'
        for name, rows in itertools.groupby(
            sorted(figures.items(), key=title), key=title
        )
    ]
    return (
        '<!doctype html><meta charset="utf-8"><title>Measurements</title>'
        '<style>body{font:13px sans-serif}svg text{font-size:12px}</style>'
        f'<h1>Measurements</h1>{"".join(charts)}'
    )


def main() -> int:
    """Run all measurements; return 1 if one of them fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--size', choices=('small', 'full'), default='small')
    args = parser.parse_args()
    results = [run(module, args.seed, args.size) for module in MODULES]
    figures = {
        name: row for _, found in results for name, row in found.items()
    }
    text = json.dumps(figures, indent=1)
    (common.BUILD_DIR / 'measure.json').write_text(text + '\n')
    (common.BUILD_DIR / 'measure.html').write_text(html_page(figures))
    missed = [name for name, row in figures.items() if row['met'] is False]
    print(f'{len(figures)} figures, {len(missed)} targets missed')
    for name in missed:
        print(f'MISSED {name}')
    return int(any(code for code, _ in results))


if __name__ == '__main__':
    sys.exit(main())
