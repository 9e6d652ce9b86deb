"""Samples of the entries' metrics, and the file that stores them.

The history file holds one JSON object per line, with the keys ``at_s``,
``source`` and ``counts``. ``counts`` is a list of
``[service, organisation, data_centre, [values]]`` with the values in the
order of :data:`COUNTERS`.
"""

from __future__ import annotations

import collections
import dataclasses
import json
import os
import pathlib
import urllib.request
from collections.abc import Iterable, Mapping, Sequence

from prometheus_client import parser

from . import objectives

SCRAPE_TIMEOUT_S = 5.0
MAX_PAGE_BYTES = 64 * 1024 * 1024

COUNTERS = tuple(
    f'{item}.{part}' for item in objectives.NAMES for part in ('good', 'all')
)


class SourceError(Exception):
    """A source is unreachable or did not return the metrics of an entry."""


@dataclasses.dataclass(frozen=True, order=True)
class SeriesLabels:
    """Labels that the calls of one time series share."""

    service: str
    organisation: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Sample:
    """Counters of one entry at one point in time.

    :ivar at_s: Unix time.
    :ivar source: URL of the metrics page.
    :ivar counts: counter values since the entry started, in the order of
        COUNTERS.
    """

    at_s: float
    source: str
    counts: Mapping[SeriesLabels, Sequence[float]]


def scrape(url: str) -> str:
    """Return the text of a metrics page.

    :raises SourceError: the page cannot be fetched or is too large.
    """
    try:
        with urllib.request.urlopen(url, timeout=SCRAPE_TIMEOUT_S) as resp:
            data = resp.read(MAX_PAGE_BYTES + 1)
    except (OSError, ValueError) as exc:
        raise SourceError(f'{url}: {exc}') from exc
    if len(data) > MAX_PAGE_BYTES:
        raise SourceError(f'{url}: the page exceeds {MAX_PAGE_BYTES} bytes')
    return data.decode(errors='replace')


def parse(
    text: str, source: str, at_s: float, thresholds_s: Mapping[str, float]
) -> Sample:
    """Return the sample that a metrics page contains.

    :param thresholds_s: latency threshold by objective; each must equal the
        upper bound of a histogram bucket.
    :raises SourceError: the page cannot be parsed or lacks such a bucket.
    """
    totals: dict[SeriesLabels, collections.Counter[str]] = (
        collections.defaultdict(collections.Counter)
    )
    try:
        families = list(parser.text_string_to_metric_families(text))
    except (ValueError, KeyError, IndexError) as exc:
        raise SourceError(f'{source}: invalid metrics page: {exc}') from exc
    for family in families:
        for row in family.samples:
            _add_metric(totals, row, thresholds_s)
    for name in thresholds_s:
        seen = any(counts[f'{name}.all'] for counts in totals.values())
        good = any(f'{name}.good' in counts for counts in totals.values())
        if seen and not good:
            raise SourceError(
                f'{source}: no bucket of {name} ends at '
                f'{thresholds_s[name]} s; '
                'set the threshold to the upper bound of a bucket'
            )
    counts = {
        labels: [values[name] for name in COUNTERS]
        for labels, values in totals.items()
    }
    return Sample(at_s, source, counts)


def _add_metric(totals, row, thresholds_s: Mapping[str, float]) -> None:
    labels = SeriesLabels(
        *(
            row.labels.get(name, '')
            for name in ('service', 'organisation', 'data_centre')
        )
    )
    if row.name == 'wagtailhollow_calls_total':
        result = row.labels.get('result', '')
        for name, is_good in objectives.classify_result(result).items():
            totals[labels][f'{name}.all'] += row.value
            totals[labels][f'{name}.good'] += row.value * is_good
        return
    for name, threshold_s in thresholds_s.items():
        metric = f'wagtailhollow_{name}_seconds'
        if row.name == f'{metric}_count':
            totals[labels][f'{name}.all'] += row.value
        elif (
            row.name == f'{metric}_bucket'
            and float(row.labels['le']) == threshold_s
        ):
            totals[labels][f'{name}.good'] += row.value


def read_history(path: str) -> tuple[list[Sample], int]:
    """Return the samples of a history file and the number of invalid lines.

    :raises OSError: the file exists but cannot be read.
    """
    file = pathlib.Path(path)
    if not file.exists():
        return [], 0
    samples = []
    bad_lines = 0
    for line in file.read_text(errors='replace').splitlines():
        try:
            samples.append(_from_json(json.loads(line)))
        except (ValueError, KeyError, TypeError):
            bad_lines += 1
    samples.sort(key=lambda item: item.at_s)
    return samples, bad_lines


def write_history(path: str, samples: Iterable[Sample]) -> None:
    """Replace the history file atomically.

    :raises OSError: the file cannot be written; the old file is kept.
    """
    text = ''.join(json.dumps(_to_json(item)) + '\n' for item in samples)
    new = pathlib.Path(f'{path}.new')
    new.write_text(text)
    os.replace(new, path)


def _to_json(sample: Sample) -> dict[str, object]:
    return {
        'at_s': sample.at_s,
        'source': sample.source,
        'counts': [
            [*dataclasses.astuple(labels), list(values)]
            for labels, values in sample.counts.items()
        ],
    }


def _from_json(row: Mapping[str, object]) -> Sample:
    counts = {}
    for service, organisation, data_centre, values in row['counts']:
        if len(values) != len(COUNTERS):
            raise ValueError(f'unexpected number of values: {len(values)}')
        counts[SeriesLabels(service, organisation, data_centre)] = [
            float(item) for item in values
        ]
    return Sample(float(row['at_s']), str(row['source']), counts)
