"""Compares the routing policies with delayed load reports.

``python -m measure.routing --seed N --size small|full``. A simulation in which
several entries send the same recorded arrivals to heterogeneous targets and
load reports reach the entries with a delay. The policies and the load view are
those of the daemons. A target runs at full speed up to its cap, slows down
above it, and produces the first token sooner if the prefix is in its cache.
One target is slow; another stops reporting and answering half-way through.
With the gate, as in the daemons, a target at its cap refuses a call and the
entry tries another target; without it, only the policy protects the targets
from overload.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import statistics
import sys

from wagtailhollow.internal.routing import (
    least_reported,
    load_view,
    policy,
    power_of_two,
    prefix_affinity,
    round_robin,
)
from wagtailhollow.internal.wire import auth
from wagtailhollow.internal.wire.gen import ttypes

from . import common

# Importing these modules registers the policies.
_POLICY_MODULES = (least_reported, power_of_two, prefix_affinity, round_robin)
ENTRIES = 4
PREFIXES = 60
CACHE_PREFIXES = 12
HERDING_WINDOW_S = 0.1
REPORT_MAX_AGE_S = 3.0
BASE_SERVICE_S = 0.8
FIRST_TOKEN_MISS_S = 0.30
FIRST_TOKEN_HIT_S = 0.08
UTILISATION = 0.75
CHOSEN = 'prefix_affinity'


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One call of the recorded load."""

    at_s: float
    entry: int
    prefix: str
    work_s: float


class Target:
    """Load model of one target."""

    def __init__(self, name: str, cap: int, speed: float) -> None:
        self.name = name
        self.cap = cap
        self.speed = speed
        self.running = 0
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def start(self, arrival: Arrival) -> tuple[float, float, bool]:
        """Start a call on the target.

        Returns the time to the first token, the service time and whether the
        prefix was in the cache.
        """
        self.running += 1
        slowdown = max(1.0, self.running / self.cap) / self.speed
        is_hit = arrival.prefix in self.cache
        self.cache[arrival.prefix] = None
        self.cache.move_to_end(arrival.prefix)
        if len(self.cache) > CACHE_PREFIXES:
            self.cache.popitem(last=False)
        first_s = FIRST_TOKEN_HIT_S if is_hit else FIRST_TOKEN_MISS_S
        # Above the cap a call also waits for a slot in the batch.
        wait_s = max(0, self.running - self.cap) / self.cap * BASE_SERVICE_S
        first_s = first_s * slowdown + wait_s
        return first_s, first_s + arrival.work_s * slowdown, is_hit


def recorded_load(seed: int, seconds: float, rate: float) -> list[Arrival]:
    """Return arrivals with skewed prefixes and long-tailed service times."""
    rng = random.Random(seed)
    weights = [1 / (rank + 1) for rank in range(PREFIXES)]
    result = []
    at_s = 0.0
    while at_s < seconds:
        at_s += rng.expovariate(rate)
        prefix = rng.choices(range(PREFIXES), weights=weights)[0]
        result.append(
            Arrival(
                at_s,
                rng.randrange(ENTRIES),
                f'prefix-{prefix}',
                rng.lognormvariate(0, 0.6) * BASE_SERVICE_S * 0.8,
            )
        )
    return result


class Run:
    """Simulation of one policy with one recorded load."""

    def __init__(
        self, name: str, lag_s: float, seed: int, has_gate: bool
    ) -> None:
        rng = random.Random(f'{seed}-{name}-{lag_s}')
        self.policies = [
            policy.POLICIES[name](random.Random(rng.random()))
            for _ in range(ENTRIES)
        ]
        self.lag_s = lag_s
        self.has_gate = has_gate
        self.targets = [
            Target(f't{index}', cap, speed)
            for index, (cap, speed) in enumerate(
                [(16, 1.0)] * 8 + [(32, 1.0)] * 3 + [(16, 0.5)]
            )
        ]
        self.silent = self.targets[3]
        self.now_s = 0.0
        self.views = [
            load_view.LoadView(lambda: self.now_s, lambda: ENTRIES)
            for _ in range(ENTRIES)
        ]
        self.first_tokens: list[float] = []
        self.hits = 0
        self.lost = 0
        self.reroutes = 0
        self.dispatches: list[tuple[float, str]] = []

    @staticmethod
    def capacity() -> float:
        """Return the calls per second that all targets can serve together."""
        return (8 * 16 + 3 * 32 + 8) / BASE_SERVICE_S

    def run(self, load: list[Arrival], seconds: float) -> None:
        """Simulate the recorded load."""
        order = itertools.count()
        events = [(item.at_s, next(order), 'call', item) for item in load]
        events += [
            (tick * 0.5 + 0.03 * index, next(order), 'report', target)
            for index, target in enumerate(self.targets)
            for tick in range(int(seconds * 2) + 2)
            if target is not self.silent or tick * 0.5 < seconds / 2
        ]
        heapq.heapify(events)
        while events:
            now_s, _, kind, item = heapq.heappop(events)
            self.now_s = now_s
            if kind == 'call':
                completion = self._dispatch(now_s, item, now_s > seconds / 2)
                if completion is not None:
                    heapq.heappush(
                        events,
                        (
                            completion[0],
                            next(order),
                            'end',
                            (item.entry, completion[1]),
                        ),
                    )
            elif kind == 'report':
                sample = (item.name, now_s, item.running)
                heapq.heappush(
                    events,
                    (now_s + self.lag_s, next(order), 'arrive', sample),
                )
            elif kind == 'arrive':
                self._deliver_report(*item)
            else:
                entry, target = item
                target.running -= 1
                self.views[entry].finished(target.name)

    def _deliver_report(
        self, name: str, created_s: float, running: int
    ) -> None:
        cap = next(item.cap for item in self.targets if item.name == name)
        for view in self.views:
            view.record_report(
                *_load_report(name, running, cap), self.now_s - created_s
            )

    def _dispatch(
        self, now_s: float, arrival: Arrival, is_silent: bool
    ) -> tuple[float, Target] | None:
        view = self.views[arrival.entry]
        by_name = {item.name: item for item in self.targets}
        tried: set[str] = set()
        while True:
            candidates = [
                _candidate(view, report)
                for report in view.fresh_reports()
                if report.load.target not in tried
            ]
            if not candidates:
                return None
            below_cap = [item for item in candidates if item.load < 1]
            chosen = self.policies[arrival.entry].choose(
                below_cap or candidates, arrival.prefix
            )
            target = by_name[chosen.target]
            if target is self.silent and is_silent:
                self.lost += 1
                return None
            if not self.has_gate or target.running < target.cap:
                break
            tried.add(target.name)
            self.reroutes += 1
            view.record_report(
                *_load_report(target.name, target.running, target.cap)
            )
        first_s, total_s, is_hit = target.start(arrival)
        view.started(target.name)
        self.first_tokens.append(first_s)
        self.hits += is_hit
        self.dispatches.append((now_s, target.name))
        return now_s + total_s, target

    def herding(self) -> float:
        """Return the 99th percentile of the load imbalance.

        The imbalance of a time window is the number of calls sent to its
        busiest target, divided by the mean over all targets.
        """
        windows: dict[int, collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        for at_s, name in self.dispatches:
            windows[int(at_s / HERDING_WINDOW_S)][name] += 1
        shares = [
            max(window.values()) * len(self.targets) / window.total()
            for window in windows.values()
        ]
        return statistics.quantiles(shares, n=100)[98]


def _load_report(
    name: str, running: int, cap: int
) -> tuple[auth.Identity, ttypes.TargetLoad, bool]:
    load = ttypes.TargetLoad(
        target=name, running=running, queued=0, cap=cap, report_age_ms=0
    )
    return auth.Identity(name, 2, '', '', 0), load, False


def _candidate(
    view: load_view.LoadView, report: load_view.TargetReport
) -> policy.Candidate:
    return policy.Candidate(
        target=report.load.target,
        address='',
        data_centre='',
        outstanding=view.outstanding(report.load.target),
        reported_running=report.load.running,
        reported_queued=0,
        sent_since_report=view.sent_since(report),
        cap=report.load.cap,
    )


def measure_policy(
    name: str, lag_s: float, seed: int, seconds: float, has_gate: bool
) -> Run:
    """Run the simulation of one policy and return it."""
    load = recorded_load(seed, seconds, Run.capacity() * UTILISATION)
    run = Run(name, lag_s, seed, has_gate)
    run.run(load, seconds)
    return run


def _figures(label: str, runs: list[Run]) -> list[common.Figure]:
    def first_token(run: Run, percent: int) -> float:
        return statistics.quantiles(run.first_tokens, n=100)[percent - 1]

    is_chosen = f'/{CHOSEN}/' in label
    return [
        common.Figure(
            f'{label}/first token p95',
            's',
            [first_token(run, 95) for run in runs],
            'at most 1.5 s' if is_chosen else '',
            (lambda value: value <= 1.5) if is_chosen else None,
        ),
        common.Figure(
            f'{label}/first token p99',
            's',
            [first_token(run, 99) for run in runs],
        ),
        common.Figure(
            f'{label}/cache hits',
            'share',
            [run.hits / len(run.first_tokens) for run in runs],
        ),
        common.Figure(
            f'{label}/herding p99', 'ratio', [run.herding() for run in runs]
        ),
        common.Figure(
            f'{label}/reroutes',
            'per call',
            [run.reroutes / len(run.first_tokens) for run in runs],
        ),
        common.Figure(
            f'{label}/lost to silent target',
            'calls',
            [float(run.lost) for run in runs],
        ),
    ]


def main() -> int:
    """Run the comparison; return 1 if a target is missed."""
    args = common.parse_arguments(__doc__)
    seconds, seeds = (20.0, 3) if args.size == 'small' else (60.0, 7)
    figures = []
    for has_gate, name, lag_s in itertools.product(
        (False, True), sorted(policy.POLICIES), (0.0, 0.5, 2.0)
    ):
        runs = [
            measure_policy(name, lag_s, args.seed + offset, seconds, has_gate)
            for offset in range(seeds)
        ]
        gate = 'gate' if has_gate else 'no gate'
        figures += _figures(f'routing/{gate}/{name}/lag {lag_s} s', runs)
    return common.report('measure-routing.json', figures)


if __name__ == '__main__':
    sys.exit(main())
