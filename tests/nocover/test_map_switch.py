"""All ranks of a group use one map in each step (P1)."""

from __future__ import annotations

from tests import rank_groups
from wagtailhollow.internal.experts import switch
from wagtailhollow.internal.wire.gen import ttypes

RESUME_BOUND_S = (
    switch.ROUND_IDLE_LIMIT_S
    + switch.MAX_JITTER_S
    + switch.RECOVERY_POLL_S
    # One command that times out, then a round of three commands.
    + 4 * switch.COMMAND_TIMEOUT_S
)
"""Bound on the time from the end of a fault to the next step."""

OLD = ttypes.Ballot(1, 1, 'stale-leader')


def test_drift_leads_to_a_new_map_on_all_ranks(run_deployment, record_proof):
    # Guards against a break anywhere between load counters and map switch.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        found = await group.switch_once()
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
    # Guards against ranks that stay held while a decision needs the
    # platform.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        await group.switch_once()
        await group.stall_round(seed=2, stalled=2)
        await cluster.faults('platform', down=True)
        await group.faults(stalled=[])
        waited_s = await group.wait_for_next_step(RESUME_BOUND_S)
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
    # and against a restarted agent that accepts commands of a round which its
    # former incarnation promised to follow.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        await group.switch_once()
        await group.stall_round(seed=2, stalled=3)
        leader = await group.leader()
        await cluster.kill(leader.name)
        await cluster.faults('platform', down=True)
        await group.faults(stalled=[])
        await cluster.restart(leader.name)
        waited_s = await group.wait_for_next_step(RESUME_BOUND_S)
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


def test_late_commands_are_refused_for_engines_that_ignore_fencing(
    run_deployment, record_proof
):
    # Guards against a late command of a former leader that reaches an engine
    # which executes every command it receives.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        await group.faults(ignore_fencing=True)
        await group.switch_once()
        reply = await group.send_to_rank(1, ttypes.HoldRank('group-a', OLD, 0))
        late = (
            (OLD, reply.incarnation),
            (reply.promised, reply.incarnation - 1),
        )
        answers = [reply] + [
            await group.send_to_rank(
                1, message_type('group-a', ballot, incarnation, 1)
            )
            for ballot, incarnation in late
            for message_type in (ttypes.ActivateMap, ttypes.ReleaseRank)
        ]
        await group.wait_for_next_step(1.0)
        found = await group.steps()
        assert found['violations'] == 0
        assert not any(answer.accepted for answer in answers)
        record_proof(
            'P1',
            'late orders, engines that ignore fencing numbers',
            worst=f'mixed steps {found["violations"]}',
        )

    run_deployment(scenario, rank_groups.SHAPE)
