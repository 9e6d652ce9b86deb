"""One map in each step (P1) with a leader that was paused past its lease."""

from __future__ import annotations

import signal

from tests import rank_groups
from wagtailhollow.internal.experts import lease, switch

TAKE_OVER_S = 2 * lease.LEASE_DURATION_S
RESUME_BOUND_S = (
    switch.ROUND_IDLE_LIMIT_S
    + switch.MAX_JITTER_S
    + switch.RECOVERY_POLL_S
    + 4 * switch.COMMAND_TIMEOUT_S
)


def test_leader_resumed_after_its_lease_expired_mixes_no_maps(
    run_deployment, record_proof
):
    # Guards against commands of a leader that does not know that its round was
    # completed and its lease taken over by another agent.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        await group.faults(ignore_fencing=True)
        await group.switch_once()
        old = await group.leader()
        await group.stall_round(seed=2, stalled=3)
        old.signal(signal.SIGSTOP)
        await group.faults(stalled=[])
        # The engine of the paused agent is held and only that agent can
        # release it, so the group waits for it. The group must not step on
        # two maps meanwhile, nor when the former leader resumes its round.
        taken_s = await group.wait_for_other_leader(old, TAKE_OVER_S)
        before = await group.steps()
        old.signal(signal.SIGCONT)
        waited_s = await group.wait_for_next_step(RESUME_BOUND_S)
        await group.change_popularity(3)
        found = await group.wait_until(
            lambda item: min(item['epochs']) > max(before['epochs']), 30.0
        )
        assert found['violations'] == 0
        assert (await group.leader()).name != old.name
        record_proof(
            'P1',
            'leader paused in a switch until after its lease',
            worst=f'steps {waited_s:.2f} s after it woke, new leader after '
            f'{taken_s:.1f} s, mixed steps {found["violations"]}',
        )

    run_deployment(scenario, rank_groups.SHAPE)
