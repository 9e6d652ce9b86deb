"""Adapters to the users' platform: its names, formats and calls.

Documents are decoded here into the types of :mod:`..directory`,
:mod:`..hostcfg` and :mod:`..experts`. No other package depends on names that
the platform uses on the wire, and this package contains no decision logic.
"""
