"""Logs, metrics and decision logging."""
