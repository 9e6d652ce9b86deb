"""Exhaustive model checking of the map switch."""

from __future__ import annotations

import minicheck
import pytest

from proof import map_switch
from tests.specification_checks import assert_holds, assert_refuted


@pytest.mark.parametrize('variant', map_switch.CHECKED, ids=str)
def test_no_step_has_two_maps(variant):
    # Guards against an interleaving in which a step uses two maps.
    assert_holds(map_switch.check(variant))


@pytest.mark.parametrize('variant', map_switch.LIVENESS, ids=str)
def test_a_held_group_can_always_be_released(variant):
    # Guards against a reachable state from which the group stays held.
    found = minicheck.check_liveness(map_switch.protocol(variant))
    assert found['holds'] is True


@pytest.mark.parametrize('variant', map_switch.NAIVE, ids=str)
def test_the_naive_variant_is_refuted(variant):
    # Guards against a specification that cannot express the known faults.
    assert_refuted(map_switch.check(variant))
