"""Switches of a group's expert map without the platform.

The agents elect a coordinator among themselves; :mod:`..experts` compares this
protocol with that of ``group.py``.
"""
