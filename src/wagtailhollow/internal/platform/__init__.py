"""The users' platform: its names, formats and calls, and nothing else.

Every document is decoded here once, into the types of :mod:`..directory`,
:mod:`..hostcfg` and :mod:`..experts`. No other package knows a name that the
platform uses on the wire, and no module here decides anything.
"""
