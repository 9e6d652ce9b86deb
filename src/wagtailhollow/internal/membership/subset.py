"""Selects the agents that an entry connects to, without coordination.

At the design scale an entry cannot connect to all 5,700 agents. Each agent is
assigned to the two entries of its data centre that rank highest for it, so
that every agent has an entry and the loss of an entry only moves its own
agents. The remaining connections of an entry go to the agents that rank
highest for it. Half of all connections go to agents of its own data centre and
the rest to the other data centres in turn, so that calls can move there
without delay.
"""

from __future__ import annotations

import collections
import itertools
from collections.abc import Iterable, Iterator, Sequence

from ..store import api
from . import rendezvous

AGENTS_PER_SERVICE = 48
ENTRIES_PER_AGENT = 2


def select_agents(
    node: str,
    data_centre: str,
    hosts: Sequence[api.HostRow],
    count: int = AGENTS_PER_SERVICE,
) -> list[api.HostRow]:
    """Return the agents that the entry *node* connects to.

    At most *count* agents of each service, unless more than *count* are
    assigned to this entry, as one of their :data:`ENTRIES_PER_AGENT`.
    """
    by_service = collections.defaultdict(list)
    for host in hosts:
        if host.role == 'agent':
            by_service[host.service].append(host)
    entries = _entries_by_data_centre(node, data_centre, hosts)
    return [
        agent
        for _, agents in sorted(by_service.items())
        for agent in _select_for_service(
            node, data_centre, agents, entries, count
        )
    ]


def _entries_by_data_centre(
    node: str, data_centre: str, hosts: Iterable[api.HostRow]
) -> dict[str, set[str]]:
    result: dict[str, set[str]] = collections.defaultdict(set)
    result[data_centre].add(node)
    for host in hosts:
        if host.role == 'entry':
            result[host.data_centre].add(host.node)
    return result


def _select_for_service(
    node: str,
    data_centre: str,
    agents: Sequence[api.HostRow],
    entries: dict[str, set[str]],
    count: int,
) -> list[api.HostRow]:
    if len(agents) <= count:
        return list(agents)
    every_entry = set().union(*entries.values())
    assigned = [
        agent
        for agent in agents
        if node
        in rendezvous.highest_ranked(
            agent.node,
            entries.get(agent.data_centre) or every_entry,
            ENTRIES_PER_AGENT,
        )
    ]
    chosen = {agent.node: agent for agent in assigned}
    assigned_elsewhere = [
        row for row in assigned if row.data_centre != data_centre
    ]
    local_count = count // 2 - (len(assigned) - len(assigned_elsewhere))
    left = [agent for agent in agents if agent.node not in chosen]
    for agent in _by_preference(node, data_centre, left, max(0, local_count)):
        if len(chosen) >= count:
            break
        chosen.setdefault(agent.node, agent)
    return list(chosen.values())


def _by_preference(
    node: str,
    data_centre: str,
    agents: Sequence[api.HostRow],
    local_count: int,
) -> Iterator[api.HostRow]:
    ranked = sorted(
        agents,
        key=lambda agent: (rendezvous.score(node, agent.node), agent.node),
        reverse=True,
    )
    own = [agent for agent in ranked if agent.data_centre == data_centre]
    others = collections.defaultdict(list)
    for agent in ranked:
        if agent.data_centre != data_centre:
            others[agent.data_centre].append(agent)
    order = rendezvous.highest_ranked(node, others, len(others))
    rounds = itertools.zip_longest(*(others[name] for name in order))
    interleaved = [
        agent for row in rounds for agent in row if agent is not None
    ]
    return itertools.chain(own[:local_count], interleaved, own[local_count:])
