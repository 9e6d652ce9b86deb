"""Renders the report as a text table, JSON or a self-contained HTML file."""

from __future__ import annotations

import dataclasses
import html
import json
import math
import time
from collections.abc import Mapping, Sequence

from . import windows

WIDTH, HEIGHT, MARGIN = 760, 260, 40
COLOURS = ('#1f6f8b', '#b5651d', '#5b8c3a', '#8a3b6b')
MAX_PLOTTED_RATE = 1_000.0

_COLUMNS = ('scope', 'name', 'objective', 'short', 'long', 'calls', 'status')

Series = Mapping[str, Sequence[tuple[float, float]]]


def as_table(rows: Sequence[windows.Row]) -> str:
    """Return the report as a text table with aligned columns."""
    lines = [_COLUMNS, *map(_cells, rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def as_json(rows: Sequence[windows.Row], now_s: float) -> str:
    """Return the report as JSON.

    An infinite rate is written as null; the counts then show bad calls.
    """
    document = {
        'at_s': now_s,
        'burning': any(row.is_burning for row in rows),
        'rows': [
            {**dataclasses.asdict(row), 'burning': row.is_burning}
            for row in rows
        ],
    }
    for row in document['rows']:
        for window in ('short', 'long'):
            rate = row[window]['rate']
            if rate is not None and math.isinf(rate):
                row[window]['rate'] = None
    return json.dumps(document, indent=1)


def as_html(rows: Sequence[windows.Row], series: Series, now_s: float) -> str:
    """Return the report as HTML without references to other files."""
    stamp = time.strftime('%Y-%m-%d %H:%M:%S UTC', time.gmtime(now_s))
    head = ''.join(f'<th>{name}</th>' for name in _COLUMNS)
    body = '\n'.join(
        f'<tr class="{_cells(row)[-1].replace(" ", "-")}">'
        + ''.join(f'<td>{html.escape(cell)}</td>' for cell in _cells(row))
        + '</tr>'
        for row in rows
    )
    return f"""<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8">
<title>Service-level burn</title>
<style>
body {{ font: 14px sans-serif; margin: 2em; }}
table {{ border-collapse: collapse; }}
td, th {{ border: 1px solid #ccc; padding: 2px 8px; text-align: left; }}
.burning td {{ background: #fbe3e0; }}
</style></head><body>
<h1>Service-level burn</h1>
<p>{stamp}. A rate of 1 uses up exactly what the objective allows.</p>
{plot(series)}
<table><thead><tr>{head}</tr></thead><tbody>
{body}
</tbody></table></body></html>
"""


def plot(series: Series) -> str:
    """Return the short window's burn rate over time as inline SVG."""
    points = [point for line in series.values() for point in line]
    if len({at_s for at_s, _ in points}) < 2:
        return '<p>Not enough samples for a plot yet.</p>'
    first_s = min(at_s for at_s, _ in points)
    last_s = max(at_s for at_s, _ in points)
    shown = [min(rate, MAX_PLOTTED_RATE) for _, rate in points]
    top = max(1.5, *shown)

    def x(at_s: float) -> float:
        share = (at_s - first_s) / (last_s - first_s)
        return MARGIN + share * (WIDTH - 2 * MARGIN)

    def y(rate: float) -> float:
        share = min(rate, top) / top
        return HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN)

    parts = [
        f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" width="{WIDTH}" '
        f'height="{HEIGHT}" role="img" '
        'aria-label="Burn rate over time">',
        _svg_line(MARGIN, y(0), WIDTH - MARGIN, y(0), '#444'),
        _svg_line(MARGIN, y(1), WIDTH - MARGIN, y(1), '#c33', '4 4'),
        _svg_text(4, y(1) + 4, '1'),
        _svg_text(4, y(0) + 4, '0'),
        _svg_text(4, y(top) + 4, f'{top:.3g}'),
        _svg_text(MARGIN, HEIGHT - 8, _format_clock(first_s)),
        _svg_text(WIDTH - MARGIN - 55, HEIGHT - 8, _format_clock(last_s)),
    ]
    for number, (name, line) in enumerate(series.items()):
        colour = COLOURS[number % len(COLOURS)]
        path = ' '.join(f'{x(at):.1f},{y(rate):.1f}' for at, rate in line)
        parts.append(
            f'<polyline points="{path}" fill="none" stroke="{colour}" '
            'stroke-width="2"/>'
        )
        parts.append(_svg_text(MARGIN + 160 * number, 16, name, colour))
    return '\n'.join([*parts, '</svg>'])


def _cells(row: windows.Row) -> tuple[str, ...]:
    if row.is_burning:
        status = 'burning'
    elif row.long.rate is None:
        status = 'no calls'
    else:
        status = 'ok'
    return (
        row.scope,
        row.name,
        row.objective,
        _format_rate(row.short),
        _format_rate(row.long),
        f'{row.long.total:.0f}',
        status,
    )


def _format_rate(burn: windows.WindowBurn) -> str:
    return '-' if burn.rate is None else f'{burn.rate:.2f}'


def _svg_line(
    x1: float, y1: float, x2: float, y2: float, colour: str, dash: str = ''
) -> str:
    return (
        f'<line x1="{x1:.1f}" y1="{y1:.1f}" x2="{x2:.1f}" y2="{y2:.1f}" '
        f'stroke="{colour}" stroke-dasharray="{dash}"/>'
    )


def _svg_text(x: float, y: float, text: str, colour: str = '#444') -> str:
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" font-size="12" fill="{colour}">'
        f'{html.escape(text)}</text>'
    )


def _format_clock(at_s: float) -> str:
    return time.strftime('%H:%M:%S', time.gmtime(at_s))
