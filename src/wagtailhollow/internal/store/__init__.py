"""Interface to the platform's object API and host list, and its adapter.

For the entries and agents outside ``entry/direct`` and ``agent/direct``, which
use the metadata store of the users' platform (:mod:`..platform`) instead.
"""
