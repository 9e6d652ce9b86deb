"""What each specification has to show, for the tests of all of them."""

from __future__ import annotations


def assert_holds(found: dict) -> None:
    """Check a verdict on a variant that is in use."""
    assert found['exhaustive']
    assert found['holds'] is True


def assert_refuted(found: dict) -> None:
    """Check a verdict on a naive variant."""
    assert found['holds'] is False
    assert found['counterexample']
