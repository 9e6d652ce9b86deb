"""``make demo``: a deployment under load while a data centre leaves.

Starts three data centres with an entry, two engines and a plain service each,
sends streamed completions and orders that must run once, takes a data centre
out and brings it back, and prints a summary. Exits 0 only if no answer was
truncated, no order ran twice, no call failed and the withdrawn data centre
got no new call after the settling time.
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
LEAVE_S, SETTLED_S, RETURN_S = 6.0, 9.0, 15.0
PHASES = {
    'before': (0.0, LEAVE_S),
    'without dc-b': (LEAVE_S, RETURN_S),
    'after return': (RETURN_S, PLAN.seconds),
}


async def withdraw_and_return(cluster: deployment.Deployment) -> int:
    """Take dc-b out and back; return its new calls after settling."""
    await asyncio.sleep(LEAVE_S)
    await cluster.edit_table({'data_centre/dc-b': {'state': 'withdrawn'}})
    await asyncio.sleep(SETTLED_S - LEAVE_S)
    before = await open_loop.started(cluster, lambda name: 'dc-b' in name)
    await asyncio.sleep(RETURN_S - SETTLED_S)
    after = await open_loop.started(cluster, lambda name: 'dc-b' in name)
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
        samples, late_calls = await asyncio.gather(
            open_loop.play(cluster, PLAN), withdraw_and_return(cluster)
        )
        counts = await open_loop.executions(cluster)
    total = open_loop.summarise(samples)
    print(f'{"phase":14}{open_loop.HEADINGS}')
    for name, chosen in open_loop.phases(samples, PHASES).items():
        print(f'{name:14}{open_loop.summarise(chosen).line()}')
    print(f'{"total":14}{total.line()}')
    duplicates = sum(number > 1 for number in counts.values())
    placed = {
        item.order_key
        for item in samples
        if item.kind == 'order' and item.answer.is_complete
    }
    lost = len(placed - set(counts))
    print(
        f'truncated answers {total.truncated}, duplicate orders {duplicates},'
        f' lost orders {lost}, new calls at dc-b while withdrawn {late_calls}'
    )
    is_good = not (
        total.truncated or duplicates or lost or late_calls or total.errors
    )
    print('ok' if is_good and total.answered else 'FAILED')
    return 0 if is_good and total.answered else 1


def main() -> int:
    """Run the demo; return the exit code."""
    return asyncio.run(run())


if __name__ == '__main__':
    sys.exit(main())
