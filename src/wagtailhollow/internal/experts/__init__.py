"""Expert placement and the switch of expert maps.

Two protocols switch the expert map of a running group so that no step begins
while its ranks have different maps. The agents of ``agent/compose.py`` use
``group.py`` with ``switch.py``, ``rank.py`` and ``lease.py``; those of
``agent/direct/compose.py`` use ``live/``.

In ``group.py``, the agent that holds a lease of the platform is the leader. It
numbers maps by *epoch*, *stages* the new map on all ranks and runs a round: it
*holds* all ranks at their next step boundary, *activates* the map and releases
the ranks. Ranks (:class:`rank.RankAcceptor`) obey the highest *ballot* that
they have promised. Any agent can complete an abandoned round.

In ``live/``, the lowest rank whose agent is alive becomes the coordinator,
without the platform. It numbers maps by *version*; an *epoch* is a formation
of the group. It publishes intents, from which the controller of each rank
(:class:`live.rank.RankController`) derives *orders* to the engine: *prepare*
copies the weights, one rank *holds* a step that has not begun yet, and all
ranks *arm* the map, which takes effect when that step begins. Ranks obey the
highest *term* that they have promised. The next coordinator undoes an
unfinished switch.
"""
