"""P5 and P6 under longer random fault injection, with several seeds."""

from __future__ import annotations

import json

import pytest

from standins import order_load
from tests import order_checks

FAULTS_S = 20.0


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_long_fault_injection_runs_each_order_at_most_once(
    run_deployment, record_proof, seed
):
    """Guards against faults that only rare combinations of failures reveal.

    No order runs twice, and no caller gets an untrue "not run".
    """

    async def scenario(cluster):
        injector = order_load.FaultInjector(cluster, seed)
        orders = await order_load.place_orders(cluster, injector, FAULTS_S)
        worst = order_checks.check(
            orders, await order_load.executions(cluster)
        )
        print(f'seed {seed}: {worst}; {json.dumps(injector.counts)}')
        for guarantee in ('P5', 'P6'):
            record_proof(guarantee, 'all at once, 20 s', seed, worst)

    run_deployment(scenario, order_load.SHAPE)
