"""Burn rates over windows of the history."""

from __future__ import annotations

import collections
import dataclasses
import itertools
from collections.abc import Callable, Iterable, Mapping, Sequence

from . import objectives, samples

SCOPES: Mapping[str, Callable[[samples.Scope], str]] = {
    'all': lambda scope: '',
    'service': lambda scope: scope.service,
    'organisation': lambda scope: scope.organisation,
    'data_centre': lambda scope: scope.data_centre,
}

Key = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class Burn:
    """One objective of one scope in one window.

    :ivar rate: share of bad calls divided by the share allowed; 1 uses up
        the allowance exactly. None without calls.
    """

    good: float
    total: float
    rate: float | None


@dataclasses.dataclass(frozen=True)
class Row:
    """One objective of one scope in both windows."""

    scope: str
    name: str
    objective: str
    short: Burn
    long: Burn

    @property
    def is_burning(self) -> bool:
        """Return whether both windows use more than is allowed.

        The long window shows that it matters, the short one that it has not
        ended yet.
        """
        return all(
            burn.rate is not None and burn.rate > 1
            for burn in (self.short, self.long)
        )


def increases(
    history: Iterable[samples.Sample], from_s: float, to_s: float
) -> dict[samples.Scope, list[float]]:
    """Return the increase of the counters between two times.

    The first sample of a source is where its counting starts. A number that
    falls means that the entry was restarted and counts from 0 again.
    """
    by_source = collections.defaultdict(list)
    for item in history:
        if item.at_s <= to_s:
            by_source[item.source].append(item)
    totals: dict[samples.Scope, list[float]] = {}
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
    # A restart shows in any of the counters, and resets all of them.
    is_restarted = any(
        after < before
        for scope, numbers in old.items()
        for before, after in zip(numbers, new.get(scope, zero), strict=True)
    )
    for scope, numbers in new.items():
        before = zero if is_restarted else old.get(scope, zero)
        total = totals.setdefault(scope, list(zero))
        for index, (low, high) in enumerate(zip(before, numbers, strict=True)):
            total[index] += high - low


def rates(
    history: Sequence[samples.Sample],
    from_s: float,
    to_s: float,
    allowed: Mapping[str, float],
) -> dict[tuple[str, str, str], Burn]:
    """Return burns by (kind of scope, name, objective).

    :param allowed: share of bad calls allowed, by objective.
    """
    sums: dict[Key, list[float]] = {}
    for scope, numbers in increases(history, from_s, to_s).items():
        for kind, name_of in SCOPES.items():
            key = (kind, name_of(scope))
            total = sums.setdefault(key, [0.0] * len(numbers))
            for index, number in enumerate(numbers):
                total[index] += number
    return {
        (*key, name): _burn(total[2 * k], total[2 * k + 1], allowed[name])
        for key, total in sums.items()
        for k, name in enumerate(objectives.NAMES)
    }


def _burn(good: float, total: float, allowed: float) -> Burn:
    if total <= 0:
        return Burn(good, total, None)
    bad_share = max(0.0, total - good) / total
    # An objective of 1 allows nothing; any bad call burns without bound.
    if allowed <= 0:
        return Burn(good, total, float('inf') if bad_share else 0.0)
    return Burn(good, total, bad_share / allowed)


def report(
    history: Sequence[samples.Sample],
    now_s: float,
    short_s: float,
    long_s: float,
    allowed: Mapping[str, float],
) -> list[Row]:
    """Return all rows, those that concern all calls first."""
    short = rates(history, now_s - short_s, now_s, allowed)
    long = rates(history, now_s - long_s, now_s, allowed)
    order = {
        (kind, name): number
        for number, (kind, name) in enumerate(
            itertools.product(SCOPES, objectives.NAMES)
        )
    }
    none = Burn(0.0, 0.0, None)
    return [
        Row(*key, short.get(key, none), long[key])
        for key in sorted(
            long, key=lambda key: (order[key[0], key[2]], key[1])
        )
    ]


def curve(
    history: Sequence[samples.Sample],
    short_s: float,
    allowed: Mapping[str, float],
    from_s: float,
    points: int,
) -> dict[str, list[tuple[float, float]]]:
    """Return (time, burn of the short window) by objective, for all calls."""
    times_s = sorted({item.at_s for item in history if item.at_s >= from_s})
    step = max(1, -(-len(times_s) // points))
    result = {name: [] for name in objectives.NAMES}
    for at_s in times_s[::-1][::step][::-1]:
        found = rates(history, at_s - short_s, at_s, allowed)
        for name in objectives.NAMES:
            burn = found.get(('all', '', name))
            if burn is not None and burn.rate is not None:
                result[name].append((at_s, burn.rate))
    return result
