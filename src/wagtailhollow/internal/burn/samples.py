"""Samples of the entries' metrics and the file that keeps them.

The history file has one JSON object a line: ``{"at_s", "source", "counts"}``.
``counts`` is a list of ``[service, organisation, data_centre, [numbers]]``,
the numbers in the order of :data:`COUNTERS`.
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
MAX_SCRAPE_BYTES = 64 * 1024 * 1024

COUNTERS = tuple(
    f'{item}.{part}' for item in objectives.NAMES for part in ('good', 'all')
)


class SourceError(Exception):
    """A source did not answer, or not with the metrics of an entry."""


@dataclasses.dataclass(frozen=True, order=True)
class Scope:
    """What the calls of one time series have in common."""

    service: str
    organisation: str
    data_centre: str


@dataclasses.dataclass(frozen=True)
class Sample:
    """Counters of one entry at one time.

    :ivar at_s: Unix time.
    :ivar counts: numbers since the start of the entry, as in COUNTERS.
    """

    at_s: float
    source: str
    counts: Mapping[Scope, Sequence[float]]


def scrape(url: str) -> str:
    """Return the text of a metrics page.

    :raises SourceError: it could not be read.
    """
    try:
        with urllib.request.urlopen(url, timeout=SCRAPE_TIMEOUT_S) as resp:
            data = resp.read(MAX_SCRAPE_BYTES + 1)
    except (OSError, ValueError) as exc:
        raise SourceError(f'{url}: {exc}') from exc
    if len(data) > MAX_SCRAPE_BYTES:
        raise SourceError(f'{url}: more than {MAX_SCRAPE_BYTES} bytes')
    return data.decode(errors='replace')


def parse(
    text: str, source: str, at_s: float, bounds: Mapping[str, float]
) -> Sample:
    """Return the sample in a metrics page.

    :param bounds: seconds by name of the latency objective; each has to be
        the bound of a bucket.
    :raises SourceError: the page cannot be read or lacks such a bucket.
    """
    totals: dict[Scope, collections.Counter[str]] = collections.defaultdict(
        collections.Counter
    )
    try:
        families = list(parser.text_string_to_metric_families(text))
    except (ValueError, KeyError, IndexError) as exc:
        raise SourceError(f'{source}: not a metrics page: {exc}') from exc
    for family in families:
        for row in family.samples:
            _count(totals, row, bounds)
    for name in bounds:
        seen = any(counts[f'{name}.all'] for counts in totals.values())
        good = any(f'{name}.good' in counts for counts in totals.values())
        if seen and not good:
            raise SourceError(
                f'{source}: no bucket of {name} ends at {bounds[name]} s; '
                'set the objective to the bound of a bucket'
            )
    counts = {
        scope: [numbers[name] for name in COUNTERS]
        for scope, numbers in totals.items()
    }
    return Sample(at_s, source, counts)


def _count(totals, row, bounds: Mapping[str, float]) -> None:
    scope = Scope(
        *(
            row.labels.get(name, '')
            for name in ('service', 'organisation', 'data_centre')
        )
    )
    if row.name == 'wagtailhollow_calls_total':
        result = row.labels.get('result', '')
        for name, is_good in objectives.judge(result).items():
            totals[scope][f'{name}.all'] += row.value
            totals[scope][f'{name}.good'] += row.value * is_good
        return
    for name, bound_s in bounds.items():
        metric = f'wagtailhollow_{name}_seconds'
        if row.name == f'{metric}_count':
            totals[scope][f'{name}.all'] += row.value
        elif (
            row.name == f'{metric}_bucket'
            and float(row.labels['le']) == bound_s
        ):
            totals[scope][f'{name}.good'] += row.value


def read_history(path: str) -> tuple[list[Sample], int]:
    """Return the samples of a history file and the number of bad lines.

    :raises OSError: the file exists and cannot be read.
    """
    file = pathlib.Path(path)
    if not file.exists():
        return [], 0
    samples = []
    bad = 0
    for line in file.read_text(errors='replace').splitlines():
        try:
            samples.append(_from_json(json.loads(line)))
        except (ValueError, KeyError, TypeError):
            bad += 1
    samples.sort(key=lambda item: item.at_s)
    return samples, bad


def write_history(path: str, samples: Iterable[Sample]) -> None:
    """Replace a history file.

    :raises OSError: it cannot be written; the old file is kept.
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
            [*dataclasses.astuple(scope), list(numbers)]
            for scope, numbers in sample.counts.items()
        ],
    }


def _from_json(row: Mapping[str, object]) -> Sample:
    counts = {}
    for service, organisation, data_centre, numbers in row['counts']:
        if len(numbers) != len(COUNTERS):
            raise ValueError(f'{len(numbers)} numbers')
        counts[Scope(service, organisation, data_centre)] = [
            float(item) for item in numbers
        ]
    return Sample(float(row['at_s']), str(row['source']), counts)
