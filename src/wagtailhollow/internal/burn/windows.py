"""Burn rates over time windows of the sample history."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence

from . import objectives, samples

SCOPE_VALUE_GETTERS: Mapping[str, Callable[[samples.SeriesLabels], str]] = {
    'all': lambda labels: '',
    'service': lambda labels: labels.service,
    'organisation': lambda labels: labels.organisation,
    'data_centre': lambda labels: labels.data_centre,
}

ScopeKey = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class WindowBurn:
    """Calls and burn rate of one objective and scope in one window.

    :ivar rate: share of bad calls divided by the allowed share; at 1 the
        error budget is used up exactly. None if there were no calls.
    """

    good: float
    total: float
    rate: float | None


@dataclasses.dataclass(frozen=True)
class Row:
    """Result of one objective and scope in both windows.

    :ivar name: value of the scope, such as the name of a service; '' for the
        scope 'all'.
    """

    scope: str
    name: str
    objective: str
    short: WindowBurn
    long: WindowBurn

    @property
    def is_burning(self) -> bool:
        """Return whether the burn rate exceeds 1 in both windows.

        The long window shows that the violation is significant, the short
        window that it is still going on.
        """
        return all(
            burn.rate is not None and burn.rate > 1
            for burn in (self.short, self.long)
        )


def counter_increases(
    history: Iterable[samples.Sample], from_s: float, to_s: float
) -> dict[samples.SeriesLabels, list[float]]:
    """Return by how much the counters rose between two points in time.

    The baseline of a source is its latest sample up to *from_s*, or its first
    sample if there is none. A counter that decreases means that the entry was
    restarted and counts from 0 again.
    """
    by_source = collections.defaultdict(list)
    for item in history:
        if item.at_s <= to_s:
            by_source[item.source].append(item)
    totals: dict[samples.SeriesLabels, list[float]] = {}
    for items in by_source.values():
        start = max(
            (k for k, item in enumerate(items) if item.at_s <= from_s),
            default=0,
        )
        for old, new in itertools.pairwise(items[start:]):
            _add_increase(totals, old.counts, new.counts)
    return totals


def _add_increase(totals, old, new) -> None:
    zero = [0.0] * len(samples.COUNTERS)
    # A restart resets all counters; a decrease in any of them reveals it.
    is_restarted = any(
        after < before
        for labels, numbers in old.items()
        for before, after in zip(numbers, new.get(labels, zero), strict=True)
    )
    for labels, numbers in new.items():
        before = zero if is_restarted else old.get(labels, zero)
        total = totals.setdefault(labels, list(zero))
        for index, (low, high) in enumerate(zip(before, numbers, strict=True)):
            total[index] += high - low


def burn_rates(
    history: Sequence[samples.Sample],
    from_s: float,
    to_s: float,
    allowed: Mapping[str, float],
) -> dict[tuple[str, str, str], WindowBurn]:
    """Return the burn by scope, scope value and objective.

    :param allowed: allowed share of bad calls by objective.
    """
    sums: dict[ScopeKey, list[float]] = {}
    for labels, numbers in counter_increases(history, from_s, to_s).items():
        for scope, get_value in SCOPE_VALUE_GETTERS.items():
            key = (scope, get_value(labels))
            total = sums.setdefault(key, [0.0] * len(numbers))
            for index, number in enumerate(numbers):
                total[index] += number
    return {
        (*key, objective): _window_burn(
            total[2 * k], total[2 * k + 1], allowed[objective]
        )
        for key, total in sums.items()
        for k, objective in enumerate(objectives.NAMES)
    }


def _window_burn(good: float, total: float, allowed: float) -> WindowBurn:
    if total <= 0:
        return WindowBurn(good, total, None)
    bad_share = max(0.0, total - good) / total
    # An objective of 1 has no error budget: any bad call makes the rate
    # infinite.
    if allowed <= 0:
        return WindowBurn(good, total, float('inf') if bad_share else 0.0)
    return WindowBurn(good, total, bad_share / allowed)


def report(
    history: Sequence[samples.Sample],
    now_s: float,
    short_s: float,
    long_s: float,
    allowed: Mapping[str, float],
) -> list[Row]:
    """Return all rows, starting with those over all calls."""
    short = burn_rates(history, now_s - short_s, now_s, allowed)
    long = burn_rates(history, now_s - long_s, now_s, allowed)
    order = {
        (scope, objective): number
        for number, (scope, objective) in enumerate(
            itertools.product(SCOPE_VALUE_GETTERS, objectives.NAMES)
        )
    }
    none = WindowBurn(0.0, 0.0, None)
    return [
        Row(*key, short.get(key, none), long[key])
        for key in sorted(
            long, key=lambda key: (order[key[0], key[2]], key[1])
        )
    ]


def burn_rate_series(
    history: Sequence[samples.Sample],
    short_s: float,
    allowed: Mapping[str, float],
    from_s: float,
    points: int,
) -> dict[str, list[tuple[float, float]]]:
    """Return (time, burn rate of the short window) over all calls.

    :param points: maximum number of points per objective.
    :return: the points by objective.
    """
    times_s = sorted({item.at_s for item in history if item.at_s >= from_s})
    step = max(1, -(-len(times_s) // points))
    result = {objective: [] for objective in objectives.NAMES}
    for at_s in times_s[::-1][::step][::-1]:
        found = burn_rates(history, at_s - short_s, at_s, allowed)
        for objective in objectives.NAMES:
            burn = found.get(('all', '', objective))
            if burn is not None and burn.rate is not None:
                result[objective].append((at_s, burn.rate))
    return result
