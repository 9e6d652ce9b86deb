"""Keeps versioned documents current on every node."""
