"""Adapters to the kinds of target."""
