"""The host list, the election of relays and the assignment of agents."""
