"""Planners of expert maps and the estimates they use."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from measure import rebalancing
from wagtailhollow.internal.experts import observation, placement, planner
from wagtailhollow.internal.settings import schema


def observed(tokens, ranks=8, seconds=1.0):
    return observation.Observation((tokens,), [seconds] * ranks)


@given(
    st.lists(st.floats(0.1, 100), min_size=8, max_size=8),
    st.integers(2, 4),
)
def test_no_placement_is_below_the_lower_bound(tokens, slots):
    # Guards against a bound that is too high, which would hide a poor planner.
    solved = placement.solve(tokens, 4, slots)
    bound = placement.skew_bound(tokens, 4, slots)
    assert solved.skew(tokens) >= bound - 1e-9


@given(st.lists(st.floats(0.1, 100), min_size=16, max_size=16))
def test_every_planner_keeps_at_least_one_replica(tokens):
    # Guards against evicting the last replica of an expert.
    for create in planner.PLANNERS.values():
        current = placement.uniform(16, 8, 3, 1)
        plan = create(planner.Costs()).plan(current, observed(tokens), 0.0)
        (layer,) = plan.placement.layers
        assert set(layer.replicas()) == set(range(16))
        assert plan.moves == placement.moves_between(current, plan.placement)


def test_small_saving_does_not_change_the_map():
    # Guards against a switch whose saving is less than its pause.
    current = placement.uniform(16, 8, 3, 1)
    tokens = [9.0] + [1.0] * 15
    moves = [
        planner.FewMoves(planner.Costs(horizon_s=horizon_s))
        .plan(current, observed(tokens), 0.0)
        .moves
        for horizon_s in (0.2, 120.0)
    ]
    assert moves[0] == 0 < moves[1]


def test_settings_allow_exactly_the_planners_of_the_planner_module():
    # Guards against a planner that the settings allow but is not registered.
    # `paced` is in a module of its own, which this process must not import:
    # it would register a planner that the settings do not allow.
    (field,) = (
        field
        for field in dataclasses.fields(schema.ExpertSettings)
        if field.name == 'planner'
    )
    names = field.metadata['allowed'].removeprefix('one of ').split(', ')
    assert names == sorted(planner.PLANNERS)


def test_gaps_in_the_counts_keep_the_estimate():
    # Guards against counting a gap as zero load.
    estimate = observation.LoadEstimate()
    estimate.update(observed([3.0, 1.0]), 0.0)
    estimate.update(observed(None), 1.0)
    assert estimate.layer(0) == [0.75, 0.25]


def test_load_is_stable_since_its_last_drift():
    # Guards against moves whose saving does not last long enough.
    estimate = observation.LoadEstimate()
    estimate.update(observed([1.0, 1.0]), 0.0)
    estimate.update(observed([1.01, 1.0]), 30.0)
    assert estimate.stable_s(30.0) == 30.0
    estimate.update(observed([3.0, 1.0]), 31.0)
    assert estimate.stable_s(33.0) == 2.0


def test_slow_rank_is_reported_and_not_rebalanced():
    # Guards against moving experts away from a rank whose slowness is not
    # caused by its load.
    current = placement.uniform(16, 8, 2, 1)
    seconds = [1.0, 1.0, 2.0] + [1.0] * 5
    seen = observation.Observation(([1.0] * 16,), seconds)
    chosen = planner.FewMoves(planner.Costs())
    plans = [chosen.plan(current, seen, float(n)) for n in range(4)]
    assert plans[-1].slow_ranks == (2,)
    assert not any(plan.moves for plan in plans)


def test_loaded_rank_is_not_reported_as_slow():
    # Guards against mistaking load skew for a slow rank.
    slow = observation.SlowRankDetector()
    for _ in range(4):
        assert slow.update([1.0, 1.0, 3.0], [2.0, 2.0, 6.0]) == ()


@pytest.mark.parametrize('slots', [17, 18])
def test_drift_is_followed_with_few_moves(slots):
    # Guards against a planner that misses the targets of measure.rebalancing.
    case = rebalancing.Case('sudden', 8, slots, 1, 80)
    ticks = rebalancing.record(case, 5)
    own = rebalancing.run(case, ticks, planner.DEFAULT_PLANNER)
    full = rebalancing.run(case, ticks, 'full_resolve')
    assert own.settled_median <= 1.10
    assert own.moves <= full.moves / 5
