"""Collects every .feature file in this directory."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios('.')
