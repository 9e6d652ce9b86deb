"""Service while a data centre leaves and returns, under a load near capacity.

``python -m measure.data_centre --seed N --size small|full``. Three data
centres with five engines and a plain service each, an entry in each data
centre, real processes. The same recorded open-loop load meets each routing
policy; one data centre is withdrawn for the middle third. Figures are given
for the time before, during and after.
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
CONCURRENT = 6
TOKEN_MS = 25.0
FIRST_MS = 60.0
TOKENS = (20, 60)
UTILISATION = 0.85
SETTLING_S = 3.0
ORDER_SHARE = 0.05
MEAN_TOKENS = sum(TOKENS) / 2
CALL_S = (FIRST_MS + MEAN_TOKENS * TOKEN_MS) / 1000
TARGET_CALLS_PER_S = CONCURRENT / CALL_S


@dataclasses.dataclass(frozen=True)
class Outcome:
    """Samples of one run, by phase, and the calls that the zone got late."""

    phases: dict[str, list[open_loop.Sample]]
    phase_s: float
    late_calls: int

    def summary(self, phase: str) -> open_loop.Summary:
        """Return the figures of one phase."""
        return open_loop.summarise(self.phases[phase])

    def admitted_share(self) -> float:
        """Return admitted work over what the remaining targets can bear."""
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
    """Return the deployment with a routing policy."""
    return deployment.Shape(
        engines=ENGINES,
        engine_options=(
            '--token-ms', str(TOKEN_MS), '--first-ms', str(FIRST_MS),
            '--capacity', str(CONCURRENT),
            '--fall-over', str(3 * CONCURRENT), '--warm-after', '12',
        ),
        service_columns={'routing': policy},
        agent_settings={'ramp': {'max_cap': CONCURRENT}},
    )  # fmt: skip


async def run(policy: str, seed: int, phase_s: float) -> Outcome:
    """Return the outcome of one policy on the recorded load."""
    rate = ENGINES * DATA_CENTRES * TARGET_CALLS_PER_S * UTILISATION
    rate /= 1 - ORDER_SHARE
    warm_s = phase_s / 2
    leave_s, return_s = warm_s + phase_s, warm_s + 2 * phase_s
    plan = open_loop.Plan(
        seed, warm_s + 3 * phase_s, rate, ORDER_SHARE, TOKENS
    )
    async with deployment.Deployment(shape(policy)) as cluster:

        async def withdraw_and_return() -> int:
            await asyncio.sleep(leave_s)
            row = 'data_centre/dc-b'
            await cluster.edit_table({row: {'state': 'withdrawn'}})
            await asyncio.sleep(SETTLING_S)
            before = await open_loop.started(
                cluster, lambda name: 'dc-b' in name
            )
            await asyncio.sleep(return_s - leave_s - SETTLING_S)
            after = await open_loop.started(
                cluster, lambda name: 'dc-b' in name
            )
            await cluster.edit_table({row: {'state': 'in_service'}})
            return after - before

        samples, late = await asyncio.gather(
            open_loop.play(cluster, plan), withdraw_and_return()
        )
    limits = {
        'before': (warm_s, leave_s),
        'during': (leave_s, return_s),
        'after': (return_s, plan.seconds),
    }
    return Outcome(open_loop.phases(samples, limits), phase_s, late)


def figures(policy: str, outcomes: list[Outcome]) -> list[common.Figure]:
    """Return the figures of one policy, with targets for the chosen one."""
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
    args = common.arguments(__doc__)
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
