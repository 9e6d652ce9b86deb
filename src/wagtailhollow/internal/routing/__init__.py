"""Routing policies, which choose the target of a call."""
