"""The agent daemons.

The one in this package relays all calls to its target; the one in ``direct``
relays none.
"""
