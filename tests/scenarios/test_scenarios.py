"""Collects every .feature file in this folder."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios('.')
