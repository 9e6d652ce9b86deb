"""Model checks of the live map switch; each explores all states."""

from __future__ import annotations

import pytest

from proof import live_switch
from tests.specification_checks import assert_holds, assert_refuted


@pytest.mark.parametrize('variant', live_switch.CHECKED, ids=str)
def test_no_step_has_two_maps(variant):
    """Guards against ranks with different maps in one step.

    Delayed orders or a coordinator that resumes after a pause cause it.
    """
    assert_holds(live_switch.check(variant))


@pytest.mark.parametrize('variant', live_switch.NAIVE, ids=str)
def test_the_naive_variant_is_refuted(variant):
    """Guards against a specification too weak to show the known faults.

    Each variant lacks one safeguard of the protocol.
    """
    assert_refuted(live_switch.check(variant))


@pytest.mark.parametrize('variant', live_switch.CHECKED, ids=str)
def test_passes_begin_once_orders_are_answered(variant):
    """Guards against a hold that is executed late and never released."""
    assert_holds(live_switch.check_progress(variant))


@pytest.mark.parametrize('variant', live_switch.STUCK, ids=str)
def test_the_stuck_variant_is_refuted(variant):
    """Guards against a specification that cannot show a stuck group."""
    assert_refuted(live_switch.check_progress(variant))
