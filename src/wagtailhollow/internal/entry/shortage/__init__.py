"""Decides which calls wait, yield or are refused while targets are scarce.

The modules take values and return verdicts. They open no connection and use
no clock but the one that they are given. See ``docs/design/shortage.md``.
"""
