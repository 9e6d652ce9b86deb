"""One map in each step (P1) beside a leader that was paused for long."""

from __future__ import annotations

import signal

from tests import rank_groups
from wagtailhollow.internal.experts import leader, switch

TAKE_OVER_S = 2 * leader.LEASE_DURATION_S
RESUME_BOUND_S = (
    switch.ROUND_IDLE_LIMIT_S
    + switch.MAX_JITTER_S
    + switch.RECOVERY_POLL_S
    + 4 * switch.COMMAND_TIMEOUT_S
)


def test_leader_that_wakes_after_its_lease_mixes_no_maps(
    run_deployment, record_proof
):
    # Guards against orders of a leader that does not know that its round was
    # resolved and that its lease went to another agent.
    async def scenario(cluster):
        group = await rank_groups.start(cluster)
        await group.faults(ignore_fencing=True)
        await group.switch_away()
        old = await group.leader()
        await group.stop_in_round(seed=2, stalled=3)
        old.signal(signal.SIGSTOP)
        await group.faults(stalled=[])
        # The engine beside the paused agent is held and only that agent can
        # release it, so the group waits for it; it must not step meanwhile
        # on two maps, nor when the former leader goes on with its round.
        taken_s = await group.wait_other_leader(old, TAKE_OVER_S)
        before = await group.steps()
        old.signal(signal.SIGCONT)
        waited_s = await group.wait_steps_on(RESUME_BOUND_S)
        await group.drift(3)
        found = await group.wait(
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
