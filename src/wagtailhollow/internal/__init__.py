"""Implementation of the daemons and the operators' tools. Not public."""
