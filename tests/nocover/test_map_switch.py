"""All ranks of a group use one map in each step (P1)."""

from __future__ import annotations

from tests import rank_groups
from wagtailhollow.internal.experts import switch
from wagtailhollow.internal.wire.gen import ttypes

RESUME_BOUND_S = (
    switch.ROUND_IDLE_LIMIT_S
    + switch.MAX_JITTER_S
    + switch.RECOVERY_POLL_S
    # One order that waits for its time-out, then a round of three orders.
    + 4 * switch.COMMAND_TIMEOUT_S
)
"""From the end of a fault to the next step, by the protocol's time-outs."""

OLD = ttypes.Ballot(1, 1, 'stale-leader')


def test_drift_leads_to_a_new_map_on_all_ranks(run_deployment, record_proof):
    # Guards against a path from counters to switch that is broken anywhere.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        found = await group.switch_away()
        assert len(set(found['epochs'])) == 1
        url = f'{cluster.platform.url}/v1/objects/groups/group-a/map'
        stored = (await cluster.get(url))['value']
        assert stored['epoch'] >= found['epochs'][0]
        assert found['violations'] == 0
        record_proof(
            'P1',
            'expert popularity drifts',
            worst=f'pause {found["longest_pause_s"]:.3f} s, '
            f'mixed steps {found["violations"]}',
        )

    run_deployment(scenario, rank_groups.SHAPE)


def test_platform_outage_in_a_switch_does_not_stop_the_group(
    run_deployment, record_proof
):
    # Guards against ranks that stay held while a decision waits for the
    # platform.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        await group.switch_away()
        await group.stop_in_round(seed=2, stalled=2)
        await cluster.faults('platform', down=True)
        await group.faults(stalled=[])
        waited_s = await group.wait_steps_on(RESUME_BOUND_S)
        found = await group.steps()
        assert found['violations'] == 0
        record_proof(
            'P1',
            'platform down and a rank stalled in a switch',
            worst=f'steps after {waited_s:.2f} s of {RESUME_BOUND_S:.2f} s',
        )

    run_deployment(scenario, rank_groups.SHAPE)


def test_killed_leader_and_platform_outage_do_not_leave_the_group_held(
    run_deployment, record_proof
):
    # Guards against a round that only its leader or the platform can end,
    # and against a restarted agent that follows the orders of a round for
    # which its former incarnation gave the promise.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        await group.switch_away()
        await group.stop_in_round(seed=2, stalled=3)
        leader = await group.leader()
        await cluster.kill(leader.name)
        await cluster.faults('platform', down=True)
        await group.faults(stalled=[])
        await cluster.restart(leader.name)
        waited_s = await group.wait_steps_on(RESUME_BOUND_S)
        found = await group.steps()
        assert found['violations'] == 0
        assert len(set(found['epochs'])) == 1
        record_proof(
            'P1',
            'leader killed in a switch, platform down',
            worst=f'steps {waited_s:.2f} s after the restart of the agent, '
            f'bound {RESUME_BOUND_S:.2f} s',
        )

    run_deployment(scenario, rank_groups.SHAPE)


def test_late_orders_are_refused_for_engines_that_ignore_numbers(
    run_deployment, record_proof
):
    # Guards against a late order of a former leader that reaches an engine
    # which carries out whatever it gets.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        await group.faults(ignore_fencing=True)
        await group.switch_away()
        own = await group.order(1, ttypes.HoldRank('group-a', OLD, 0))
        late = (
            (OLD, own.incarnation),
            (own.promised, own.incarnation - 1),
        )
        answers = [own] + [
            await group.order(1, order('group-a', ballot, incarnation, 1))
            for ballot, incarnation in late
            for order in (ttypes.ActivateMap, ttypes.ReleaseRank)
        ]
        await group.wait_steps_on(1.0)
        found = await group.steps()
        assert found['violations'] == 0
        assert not any(answer.accepted for answer in answers)
        record_proof(
            'P1',
            'late orders, engines that ignore fencing numbers',
            worst=f'mixed steps {found["violations"]}',
        )

    run_deployment(scenario, rank_groups.SHAPE)
