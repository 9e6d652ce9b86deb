"""Compares the retry policies at an offered load of twice the capacity.

``python -m measure.retries --seed N --size small|full``. A simulation in which
targets above their cap fail most attempts. Only retries by the entry are
modelled, none by callers. Each retry policy receives the same recorded
arrivals and the same seed for failures.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import random
import sys

from wagtailhollow.internal.retries import budget

from . import common

TARGETS = 8
CAP = 12
SERVICE_S = 0.5
OVERLOAD = 2.0
MAX_ATTEMPTS = 4
BACKOFF_S = 0.05
FAILURE_SHARE_ABOVE_CAP = 0.9
"""Share of the attempts that fail at a target with its cap in use."""


@dataclasses.dataclass
class Outcome:
    """Counts of one run."""

    offered: int = 0
    attempts: int = 0
    answered: int = 0

    @property
    def amplification(self) -> float:
        """Return the number of attempts per offered call."""
        return self.attempts / self.offered


def simulate(policy: str, seed: int, seconds: float) -> Outcome:
    """Simulate the recorded load with one retry policy."""
    rng = random.Random(seed)
    rate = OVERLOAD * TARGETS * CAP / SERVICE_S
    now = [0.0]
    retries = budget.RETRY_POLICIES[policy](clock=lambda: now[0])
    running = [0] * TARGETS
    order = itertools.count()
    events: list[tuple[float, int, str, int]] = []
    at_s = 0.0
    while at_s < seconds:
        at_s += rng.expovariate(rate)
        events.append((at_s, next(order), 'call', 1))
    heapq.heapify(events)
    result = Outcome()
    while events:
        now[0], _, kind, number = heapq.heappop(events)
        if kind == 'end':
            running[number] -= 1
            continue
        if number == 1:
            result.offered += 1
            retries.record_first_attempt()
        result.attempts += 1
        target = rng.randrange(TARGETS)
        is_above_cap = running[target] >= CAP
        running[target] += 1
        end_s = now[0] + SERVICE_S * (0.2 if is_above_cap else 1.0)
        heapq.heappush(events, (end_s, next(order), 'end', target))
        if not (is_above_cap and rng.random() < FAILURE_SHARE_ABOVE_CAP):
            result.answered += 1
        elif number < MAX_ATTEMPTS and retries.try_spend():
            retry_at_s = end_s + BACKOFF_S * rng.uniform(0.5, 1.5)
            heapq.heappush(
                events, (retry_at_s, next(order), 'call', number + 1)
            )
    return result


def main() -> int:
    """Run the comparison; return 1 if a target is missed."""
    args = common.parse_arguments(__doc__)
    seconds, seeds = (20.0, 3) if args.size == 'small' else (60.0, 7)
    figures = []
    for policy in budget.RETRY_POLICIES:
        runs = [
            simulate(policy, args.seed + offset, seconds)
            for offset in range(seeds)
        ]
        is_chosen = policy == budget.DEFAULT_POLICY
        figures += [
            common.Figure(
                f'retries/{policy}/attempts for each offered call',
                'ratio',
                [run.amplification for run in runs],
                'at most 1.1' if is_chosen else '',
                (lambda value: value <= 1.1) if is_chosen else None,
            ),
            common.Figure(
                f'retries/{policy}/answered',
                'share',
                [run.answered / run.offered for run in runs],
            ),
        ]
    return common.report('measure-retries.json', figures)


if __name__ == '__main__':
    sys.exit(main())
