"""``wagtailhollow-burn``: reports burn rates of service-level objectives."""

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
RETENTION_FACTOR = 1.1
"""Samples are kept for 10 % longer than the long window, because the window
needs a sample from before its start as the baseline."""

_EPILOG = """
Each run reads the metrics once, adds them to the history file and prints the
report. Run it every minute, or use --runs and --every. A rate needs at least
two samples of an entry.

exit codes:
  0  no objective exceeds its error budget in both windows
  1  no entry could be scraped, or a file could not be read or written
  2  invalid command line or settings
  3  an objective exceeds its error budget in both windows

Sources that cannot be scraped are reported but change the exit code only if
all of them fail. With --runs, the exit code is that of the last run.
"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; return the exit code."""
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
        _print_error(str(exc))
        return common.EXIT_FAILED
    except KeyboardInterrupt:
        return common.EXIT_FAILED


def run_once(cfg: schema.BurnSettings, args: argparse.Namespace) -> int:
    """Scrape each entry once and print the report; return the exit code.

    :raises OSError: the history file cannot be read or written, or the HTML
        file cannot be written.
    """
    history, bad_lines = samples.read_history(cfg.history_file)
    if bad_lines:
        _print_error(
            f'{cfg.history_file}: {bad_lines} unreadable lines dropped'
        )
    now_s = time.time()
    new = _scrape_entries(cfg, now_s)
    if not new:
        return common.EXIT_FAILED
    # The first points of the plot need a short window before them.
    oldest_s = (
        now_s - cfg.long_window_s * RETENTION_FACTOR - cfg.short_window_s
    )
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
        objectives.TRUTHFUL_REFUSALS: availability,
    }
    rows = windows.report(
        history, now_s, cfg.short_window_s, cfg.long_window_s, allowed
    )
    if args.html:
        series = windows.burn_rate_series(
            history,
            cfg.short_window_s,
            allowed,
            now_s - cfg.long_window_s,
            PLOT_POINTS,
        )
        pathlib.Path(args.html).write_text(output.as_html(rows, series, now_s))
    if args.format == 'json':
        print(output.as_json(rows, now_s))
    else:
        print(output.as_table(rows))
    if any(row.is_burning for row in rows):
        return EXIT_BURNING
    return common.EXIT_OK


def _scrape_entries(
    cfg: schema.BurnSettings, now_s: float
) -> list[samples.Sample]:
    thresholds_s = {
        objectives.FIRST_TOKEN: cfg.first_token_s,
        objectives.BETWEEN_TOKENS: cfg.between_tokens_s,
    }
    found = []
    for url in cfg.sources:
        try:
            text = samples.scrape(url)
            found.append(samples.parse(text, url, now_s, thresholds_s))
        except samples.SourceError as exc:
            _print_error(str(exc))
    return found


def _parser() -> argparse.ArgumentParser:
    parser = common.parser(
        'wagtailhollow-burn', 'Reports burn rates of service-level objectives.'
    )
    parser.epilog = _EPILOG
    parser.formatter_class = argparse.RawDescriptionHelpFormatter
    parser.add_argument(
        '--format',
        choices=('table', 'json'),
        default='table',
        help='format of the report on standard output (default: table)',
    )
    parser.add_argument(
        '--html',
        metavar='FILE',
        help='also write the report to this HTML file',
    )
    parser.add_argument(
        '--every',
        type=_positive_seconds,
        default=60.0,
        metavar='SECONDS',
        help='time between runs if --runs is above 1 (default: 60)',
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


def _print_error(message: str) -> None:
    print(f'error: {message}', file=sys.stderr)


if __name__ == '__main__':
    sys.exit(main())
