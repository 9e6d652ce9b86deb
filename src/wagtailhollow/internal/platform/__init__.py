"""Adapters to the users' platform: its names, formats and calls.

For the processes in ``entry/direct`` and ``agent/direct``; the others use the
object API of :mod:`..store`.

Documents are decoded here into the types of :mod:`..directory`,
:mod:`..hostcfg` and :mod:`..experts`. Other packages do not depend on names
that this platform uses on the wire, except for the header ``x-request-id``.
This package contains no decision logic.
"""
