"""The operators' table of weights and limits.

For the entries and agents outside ``entry/direct`` and ``agent/direct``, which
follow the manifest of :mod:`..directory` instead.
"""
