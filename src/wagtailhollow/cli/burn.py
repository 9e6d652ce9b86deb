"""``wagtailhollow-burn``: the report on service-level burn."""

from __future__ import annotations

import argparse
import pathlib
import sys
import time
from collections.abc import Sequence

from ..internal.burn import objectives, output, samples, windows
from ..internal.settings import schema
from . import common

EXIT_BURNING = 3
PLOT_POINTS = 200
KEEP_FACTOR = 1.1
"""A sample from before the long window is needed as its start."""

_EPILOG = """
Each run reads the metrics once, adds them to the history file and reports;
run it every minute, or with --every. Rates need two samples of an entry.

exit codes:
  0  every objective is within its allowance
  1  no entry could be read, or a file could not be read or written
  2  invalid command line or settings
  3  an objective burns more than its allowance in both windows
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Report; return the exit code."""
    args = _parser().parse_args(argv)
    cfg = common.load_settings(args.settings, schema.BurnSettings)
    if cfg is None:
        return common.EXIT_USAGE
    if args.check_config:
        print(f'{args.settings}: ok')
        return common.EXIT_OK
    try:
        code = common.EXIT_OK
        for number in range(args.runs):
            if number:
                time.sleep(args.every)
            code = run_once(cfg, args)
        return code
    except OSError as exc:
        _complain(str(exc))
        return common.EXIT_FAILED
    except KeyboardInterrupt:
        return common.EXIT_FAILED


def run_once(cfg: schema.BurnSettings, args: argparse.Namespace) -> int:
    """Take one sample of each entry and report; return the exit code.

    :raises OSError: the history or the HTML file failed.
    """
    history, bad_lines = samples.read_history(cfg.history_file)
    if bad_lines:
        _complain(f'{cfg.history_file}: {bad_lines} unreadable lines dropped')
    now_s = time.time()
    new = _scrape_all(cfg, now_s)
    if not new:
        return common.EXIT_FAILED
    oldest_s = now_s - cfg.long_window_s * KEEP_FACTOR - cfg.short_window_s
    history = [
        item for item in [*history, *new] if oldest_s <= item.at_s <= now_s
    ]
    samples.write_history(cfg.history_file, history)
    latency = 1 - cfg.latency_objective
    availability = 1 - cfg.availability_objective
    allowed = {
        objectives.FIRST_TOKEN: latency,
        objectives.BETWEEN_TOKENS: latency,
        objectives.AVAILABILITY: availability,
        objectives.TRUTHFUL: availability,
    }
    rows = windows.report(
        history, now_s, cfg.short_window_s, cfg.long_window_s, allowed
    )
    if args.html:
        curve = windows.curve(
            history,
            cfg.short_window_s,
            allowed,
            now_s - cfg.long_window_s,
            PLOT_POINTS,
        )
        pathlib.Path(args.html).write_text(output.as_html(rows, curve, now_s))
    if args.format == 'json':
        print(output.as_json(rows, now_s))
    else:
        print(output.table(rows))
    if any(row.is_burning for row in rows):
        return EXIT_BURNING
    return common.EXIT_OK


def _scrape_all(
    cfg: schema.BurnSettings, now_s: float
) -> list[samples.Sample]:
    bounds = {
        objectives.FIRST_TOKEN: cfg.first_token_s,
        objectives.BETWEEN_TOKENS: cfg.between_tokens_s,
    }
    found = []
    for url in cfg.sources:
        try:
            text = samples.scrape(url)
            found.append(samples.parse(text, url, now_s, bounds))
        except samples.SourceError as exc:
            _complain(str(exc))
    return found


def _parser() -> argparse.ArgumentParser:
    parser = common.parser(
        'wagtailhollow-burn', 'Reports the burn of service-level objectives.'
    )
    parser.epilog = _EPILOG
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument(
        '--format',
        choices=('table', 'json'),
        default='table',
        help='form of the report on standard output (default: table)',
    )
    parser.add_argument(
        '--html', metavar='FILE', help='write the report as one HTML file too'
    )
    parser.add_argument(
        '--every',
        type=_positive_seconds,
        default=60.0,
        metavar='SECONDS',
        help='time between runs, with --runs (default: 60)',
    )
    parser.add_argument(
        '--runs',
        type=_positive_count,
        default=1,
        metavar='N',
        help='number of runs (default: 1)',
    )
    return parser


def _positive_seconds(text: str) -> float:
    value = float(text)
    if not 0 < value <= 86_400:
        raise argparse.ArgumentTypeError(
            f'got {text}; allowed: seconds above 0, up to 86400'
        )
    return value


def _positive_count(text: str) -> int:
    value = int(text)
    if value < 1:
        raise argparse.ArgumentTypeError(
            f'got {text}; allowed: a whole number from 1'
        )
    return value


def _complain(message: str) -> None:
    print(f'error: {message}', file=sys.stderr)


if __name__ == '__main__':
    sys.exit(main())
