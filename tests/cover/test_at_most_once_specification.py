"""Model checks of at-most-once execution: it holds, and can be refuted."""

from __future__ import annotations

import pytest

from proof import at_most_once

PLANS = {
    'two entries': at_most_once.TWO_ENTRIES,
    'own retry': at_most_once.OWN_RETRY,
}

REFUTED_STATES = 8_000
"""Enough to find the counterexamples; a refutation needs no full search."""

DEEP_REFUTED_STATES = 14_000
"""For the variant whose counterexample also needs an agent restart."""


@pytest.mark.parametrize('plan', PLANS.values(), ids=PLANS)
def test_the_protocol_satisfies_all_properties_in_every_reachable_state(plan):
    """Guards against a sequence of failures that violates an invariant."""
    result = at_most_once.check(plan)
    assert result['exhaustive'], result['incomplete_reason']
    broken = {
        name: verdict['counterexample']
        for name, verdict in result['properties'].items()
        if verdict['holds'] is not True
    }
    assert not broken
    print(f'{result["reachable_states"]} states')


@pytest.mark.parametrize(
    ('flag', 'max_states'),
    [
        ('no_tombstones', REFUTED_STATES),
        ('no_incarnation_check', DEEP_REFUTED_STATES),
        ('retry_on_timeout', REFUTED_STATES),
        ('no_age_limit', REFUTED_STATES),
    ],
)
def test_the_protocol_without_one_safeguard_is_refuted(flag, max_states):
    """Guards against a specification that cannot express the faults."""
    variant = at_most_once.Variant(**{flag: True})
    result = at_most_once.check(at_most_once.OWN_RETRY, variant, max_states)
    verdicts = result['properties']
    assert verdicts['at most one execution']['holds'] is False
    assert verdicts['not run is true for ever']['holds'] is False


def test_a_second_request_can_run_after_the_first_is_found_not_run():
    """Guards against a protocol that is safe only because it never retries."""
    protocol = at_most_once.protocol(at_most_once.TWO_ENTRIES)
    protocol.invariants = {
        'the second right is never used': lambda fields: (
            not fields['state'].rights[1].executed
        ),
        'not run is never answered': lambda fields: all(
            request.stage is not at_most_once.Stage.NOT_RUN
            for request in fields['state'].requests
        ),
    }
    result = at_most_once.minicheck.check_safety(protocol, REFUTED_STATES)
    assert [row['holds'] for row in result['properties'].values()] == [
        False,
        False,
    ]
