"""Measures the withdrawal and return of a data centre near full capacity.

``python -m measure.data_centre --seed N --size small|full``. The deployment
consists of real processes: three data centres, each with five engines, a
plain service and an entry. Each routing policy receives the same recorded
open-loop load. After a warm-up, one data centre is withdrawn for the middle
third of the load. Figures are reported for the phases before, during and
after the withdrawal.
"""

from __future__ import annotations

import asyncio
import dataclasses
import sys

from standins import deployment

from . import common, open_loop

POLICIES = ('prefix_affinity', 'power_of_two', 'round_robin',
            'least_reported_load')  # fmt: skip
CHOSEN = 'prefix_affinity'
ENGINES = 5
DATA_CENTRES = 3
ENGINE_CAPACITY = 6
TOKEN_MS = 25.0
FIRST_TOKEN_MS = 60.0
TOKENS = (20, 60)
UTILISATION = 0.85
SETTLING_S = 3.0
"""Time for the entries to apply the withdrawal before calls are counted."""
ORDER_SHARE = 0.05
MEAN_TOKENS = sum(TOKENS) / 2
CALL_S = (FIRST_TOKEN_MS + MEAN_TOKENS * TOKEN_MS) / 1000
TARGET_CALLS_PER_S = ENGINE_CAPACITY / CALL_S


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Results of one run.

    :ivar phases: samples by phase.
    :ivar late_calls: calls that engines of the withdrawn data centre started
        later than ``SETTLING_S`` after the withdrawal.
    """

    phases: dict[str, list[open_loop.Sample]]
    phase_s: float
    late_calls: int

    def summary(self, phase: str) -> open_loop.Summary:
        """Return the summary of one phase."""
        return open_loop.summarise(self.phases[phase])

    def admitted_share(self) -> float:
        """Return the completed chats as a share of those that were possible.

        The number possible during the withdrawal is the capacity of the
        remaining targets or the offered load, whichever is lower.
        """
        chats = [
            item
            for item in self.phases['during']
            if item.kind == 'chat' and item.answer.is_complete
        ]
        remaining = ENGINES * (DATA_CENTRES - 1) * TARGET_CALLS_PER_S
        offered = len(
            [item for item in self.phases['during'] if item.kind == 'chat']
        )
        possible = min(remaining * self.phase_s, offered)
        return len(chats) / possible


def shape(policy: str) -> deployment.Shape:
    """Return the shape of the deployment with the given routing policy."""
    return deployment.Shape(
        engines=ENGINES,
        engine_options=(
            '--token-ms', str(TOKEN_MS), '--first-ms', str(FIRST_TOKEN_MS),
            '--capacity', str(ENGINE_CAPACITY),
            '--fall-over', str(3 * ENGINE_CAPACITY), '--warm-after', '12',
        ),
        service_columns={'routing': policy},
        agent_settings={'ramp': {'max_cap': ENGINE_CAPACITY}},
    )  # fmt: skip


async def run(policy: str, seed: int, phase_s: float) -> Outcome:
    """Run the recorded load with one policy and return the outcome."""
    rate = ENGINES * DATA_CENTRES * TARGET_CALLS_PER_S * UTILISATION
    rate /= 1 - ORDER_SHARE
    warm_up_s = phase_s / 2
    leave_s, return_s = warm_up_s + phase_s, warm_up_s + 2 * phase_s
    plan = open_loop.Plan(
        seed, warm_up_s + 3 * phase_s, rate, ORDER_SHARE, TOKENS
    )
    async with deployment.Deployment(shape(policy)) as cluster:

        async def withdraw_and_return() -> int:
            await asyncio.sleep(leave_s)
            row = 'data_centre/dc-b'
            await cluster.edit_table({row: {'state': 'withdrawn'}})
            await asyncio.sleep(SETTLING_S)
            before = await open_loop.started_calls(
                cluster, lambda name: 'dc-b' in name
            )
            await asyncio.sleep(return_s - leave_s - SETTLING_S)
            after = await open_loop.started_calls(
                cluster, lambda name: 'dc-b' in name
            )
            await cluster.edit_table({row: {'state': 'in_service'}})
            return after - before

        samples, late = await asyncio.gather(
            open_loop.send_load(cluster, plan), withdraw_and_return()
        )
    limits = {
        'before': (warm_up_s, leave_s),
        'during': (leave_s, return_s),
        'after': (return_s, plan.seconds),
    }
    return Outcome(open_loop.split_by_phase(samples, limits), phase_s, late)


def figures(policy: str, outcomes: list[Outcome]) -> list[common.Figure]:
    """Return the figures of one policy; only ``CHOSEN`` has targets."""
    is_chosen = policy == CHOSEN
    result = []
    for phase in ('before', 'during', 'after'):
        summaries = [item.summary(phase) for item in outcomes]
        label = f'data centre/{policy}/{phase}'
        result += [
            common.Figure(
                f'{label}/first token p95',
                'ms',
                [item.first_p95 * 1000 for item in summaries],
            ),
            common.Figure(
                f'{label}/between tokens p95',
                'ms',
                [item.gap_p95 * 1000 for item in summaries],
            ),
            common.Figure(
                f'{label}/admitted within target',
                'share',
                [item.within_target for item in summaries],
                'at least 0.95' if is_chosen else '',
                (lambda value: value >= 0.95) if is_chosen else None,
            ),
            common.Figure(
                f'{label}/refused',
                'share',
                [item.refused / item.calls for item in summaries],
            ),
            common.Figure(
                f'{label}/other errors',
                'calls',
                [float(sum(item.errors.values())) for item in summaries],
                '0' if is_chosen else '',
                (lambda value: value == 0) if is_chosen else None,
            ),
        ]
    result += [
        common.Figure(
            f'data centre/{policy}/admitted of what remains',
            'share',
            [item.admitted_share() for item in outcomes],
            'at least 0.95' if is_chosen else '',
            (lambda value: value >= 0.95) if is_chosen else None,
        ),
        common.Figure(
            f'data centre/{policy}/new calls while out',
            'calls',
            [float(item.late_calls) for item in outcomes],
            '0' if is_chosen else '',
            (lambda value: value == 0) if is_chosen else None,
        ),
    ]
    return result


def main() -> int:
    """Run the comparison; return 1 if a target is missed."""
    args = common.parse_arguments(__doc__)
    phase_s, seeds = (10.0, 1) if args.size == 'small' else (30.0, 2)
    result = []
    for policy in POLICIES:
        outcomes = [
            asyncio.run(run(policy, args.seed + offset, phase_s))
            for offset in range(seeds)
        ]
        result += figures(policy, outcomes)
    return common.report('measure-data-centre.json', result)


if __name__ == '__main__':
    sys.exit(main())
