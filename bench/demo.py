"""``make demo``: withdraws a data centre of a deployment under load.

Starts three data centres with an entry, two engines and a plain service each,
sends streamed completions and orders that must run at most once, withdraws a
data centre, brings it back, and prints a summary. Exits 0 only if no answer
was truncated, no order ran twice or was lost, no call failed, and the
withdrawn data centre got no new calls after the settling time.
"""

from __future__ import annotations

import asyncio
import sys
import time

from measure import open_loop
from standins import deployment

SHAPE = deployment.Shape(
    engine_options=('--token-ms', '15', '--first-ms', '30'),
)
PLAN = open_loop.Plan(seed=1, seconds=24.0, rate=12.0)
WITHDRAW_S, SETTLED_S, BRING_BACK_S = 6.0, 9.0, 15.0
PHASES = {
    'before': (0.0, WITHDRAW_S),
    'without dc-b': (WITHDRAW_S, BRING_BACK_S),
    'after return': (BRING_BACK_S, PLAN.seconds),
}


async def withdraw_and_bring_back(cluster: deployment.Deployment) -> int:
    """Withdraw dc-b and bring it back.

    Returns the number of calls that its engines started while it was
    withdrawn, from the settling time on.
    """
    await asyncio.sleep(WITHDRAW_S)
    await cluster.edit_table({'data_centre/dc-b': {'state': 'withdrawn'}})
    await asyncio.sleep(SETTLED_S - WITHDRAW_S)
    before = await open_loop.started_calls(
        cluster, lambda name: 'dc-b' in name
    )
    await asyncio.sleep(BRING_BACK_S - SETTLED_S)
    after = await open_loop.started_calls(cluster, lambda name: 'dc-b' in name)
    await cluster.edit_table({'data_centre/dc-b': {'state': 'in_service'}})
    return after - before


async def run() -> int:
    """Run the demo; return the exit code."""
    start_s = time.monotonic()
    async with deployment.Deployment(SHAPE) as cluster:
        targets = len(cluster.named('agent-'))
        print(
            f'{len(SHAPE.data_centres)} data centres, '
            f'{len(cluster.named("entry-"))} entries, {targets} targets, '
            f'ready after {time.monotonic() - start_s:.1f} s'
        )
        samples, withdrawn_calls = await asyncio.gather(
            open_loop.send_load(cluster, PLAN),
            withdraw_and_bring_back(cluster),
        )
        counts = await open_loop.executions(cluster)
    total = open_loop.summarise(samples)
    print(f'{"phase":14}{open_loop.TABLE_HEADER}')
    for name, phase_samples in open_loop.split_by_phase(
        samples, PHASES
    ).items():
        print(f'{name:14}{open_loop.summarise(phase_samples).table_row()}')
    print(f'{"total":14}{total.table_row()}')
    duplicates = sum(number > 1 for number in counts.values())
    placed = {
        item.order_key
        for item in samples
        if item.kind == 'order' and item.answer.is_complete
    }
    lost = len(placed - set(counts))
    print(
        f'truncated answers {total.truncated}, duplicate orders {duplicates},'
        f' lost orders {lost}, new calls at dc-b while withdrawn '
        f'{withdrawn_calls}'
    )
    is_ok = not (
        total.truncated
        or duplicates
        or lost
        or withdrawn_calls
        or total.errors
    )
    print('ok' if is_ok and total.answered else 'FAILED')
    return 0 if is_ok and total.answered else 1


def main() -> int:
    """Run the demo; return the exit code."""
    return asyncio.run(run())


if __name__ == '__main__':
    sys.exit(main())
