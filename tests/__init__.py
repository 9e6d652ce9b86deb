"""Tests, grouped by cost: cover (fast), nocover (processes), scenarios."""
