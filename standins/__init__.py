"""Small fakes for the systems around wagtailhollow, for tests and demos.

Each is a process on loopback with faults that ``POST /faults`` switches on.
They are not part of the installed package.
"""
