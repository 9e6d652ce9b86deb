"""Fakes of the systems around wagtailhollow, for tests and demos.

Most run as processes on loopback, with faults set by ``POST /faults``. They
are not part of the installed package.
"""
