"""Routing policies and the load view."""

from __future__ import annotations

import collections
import random

import pytest

from wagtailhollow.internal.routing import (
    least_reported,
    load_view,
    policy,
    power_of_two,
    prefix_affinity,
    round_robin,
)
from wagtailhollow.internal.wire import auth
from wagtailhollow.internal.wire.gen import ttypes

ALL = (least_reported, power_of_two, prefix_affinity, round_robin)


def candidate(name, running=0, cap=10, sent=0, weight=1.0):
    return policy.Candidate(
        name, '', 'dc', sent, running, 0, sent, cap, weight
    )


@pytest.mark.parametrize('name', sorted(policy.POLICIES))
def test_policy_chooses_the_only_candidate(name):
    """Guards against a policy that fails when only one target remains."""
    only = candidate('a', running=10)
    assert policy.POLICIES[name]().choose([only], 'prefix') is only


def test_prefix_goes_to_the_same_target_while_it_is_not_busy():
    """Guards against spreading a prefix over the caches of all targets."""
    routing_policy = prefix_affinity.PrefixAffinity(random.Random(1))
    targets = [candidate(f't{index}', running=2) for index in range(8)]
    chosen = {routing_policy.choose(targets, 'p').target for _ in range(50)}
    assert len(chosen) == 1


def test_prefix_is_not_sent_to_a_target_over_the_load_bound():
    """Guards against overload of a target by one hot prefix."""
    routing_policy = prefix_affinity.PrefixAffinity(random.Random(1))
    targets = [candidate(f't{index}', running=2) for index in range(8)]
    preferred = routing_policy.choose(targets, 'p').target
    busy = [
        candidate(item.target, running=9 if item.target == preferred else 2)
        for item in targets
    ]
    chosen = {routing_policy.choose(busy, 'p').target for _ in range(50)}
    assert preferred not in chosen


def test_calls_sent_since_the_report_count_as_load():
    """Guards against sending all calls to one target until its next report."""
    idle_by_report = candidate('a', running=0, sent=9)
    busy_by_report = candidate('b', running=5)
    routing_policy = power_of_two.PowerOfTwo(random.Random(3))
    chosen = collections.Counter(
        routing_policy.choose([idle_by_report, busy_by_report], '').target
        for _ in range(400)
    )
    assert chosen['b'] > 2 * chosen['a']


def test_report_older_than_the_limit_is_not_used():
    """Guards against routing to a target that stopped sending reports."""
    now = [0.0]
    view = load_view.LoadView(clock=lambda: now[0])
    agent = auth.Identity('a', 2, 'dc', 'd', 1, '')
    load = ttypes.TargetLoad('t', 's', 2, 0, 0, 4, 1, 0, 0, 0.0, [], 4)
    view.record_report(agent, load, False)
    now[0] = load_view.MAX_REPORT_AGE_S
    assert view.fresh_reports()
    now[0] += 0.1
    assert not view.fresh_reports()


def test_calls_are_counted_from_the_time_at_which_a_report_was_made():
    """Guards against calls that neither the report nor the view includes."""
    now = [10.0]
    view = load_view.LoadView(clock=lambda: now[0], entry_count=lambda: 3)
    agent = auth.Identity('a', 2, 'dc', 'd', 1, '')
    load = ttypes.TargetLoad('t', 's', 2, 0, 0, 4, 1, 0, 0, 0.0, [], 4)
    view.started('t')
    now[0] = 11.0
    view.started('t')
    now[0] = 11.2
    view.record_report(agent, load, False, age_s=0.5)
    assert view.sent_since(view.report('t')) == 3
    view.finished('t')
    assert view.sent_since(view.report('t')) == 0
