"""Limits and budgets of organisations."""
