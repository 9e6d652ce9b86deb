"""The deployed configuration and the registered targets.

For the entries and agents that run on the users' platform (``entry/direct``,
``agent/direct``). In the other deployment, :mod:`..table` and
:mod:`..membership` take this place.
"""
