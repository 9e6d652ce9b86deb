"""Exhaustive model checks of the small specifications."""

from __future__ import annotations

import pytest

from proof import intent_order, key_withdrawal, single_run
from tests.specification_checks import assert_holds, assert_refuted

SPECIFICATIONS = (intent_order, key_withdrawal, single_run)


def variants(kind):
    return [
        pytest.param(module, variant, id=f'{module.__name__}-{variant}')
        for module in SPECIFICATIONS
        for variant in getattr(module, kind)
    ]


@pytest.mark.parametrize(('module', 'variant'), variants('CHECKED'))
def test_the_invariant_holds(module, variant):
    """Guards against a violated invariant in some order of events.

    These are one map in each step, at most one run of a call, and no request
    served with a key long withdrawn.
    """
    assert_holds(module.check(variant))


@pytest.mark.parametrize(('module', 'variant'), variants('NAIVE'))
def test_the_naive_variant_is_refuted(module, variant):
    """Guards against a specification too weak to show the known faults.

    Each variant lacks one safeguard.
    """
    assert_refuted(module.check(variant))


def test_each_specification_has_a_naive_variant():
    """Guards against a specification that cannot be refuted."""
    assert all(module.CHECKED and module.NAIVE for module in SPECIFICATIONS)
