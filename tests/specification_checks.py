"""Assertions on model checker verdicts, shared by the specification tests."""

from __future__ import annotations


def assert_holds(verdict: dict) -> None:
    """Assert that a variant holds in every reachable state."""
    assert verdict['exhaustive']
    assert verdict['holds'] is True


def assert_refuted(verdict: dict) -> None:
    """Assert that a naive variant is refuted by a counterexample."""
    assert verdict['holds'] is False
    assert verdict['counterexample']
