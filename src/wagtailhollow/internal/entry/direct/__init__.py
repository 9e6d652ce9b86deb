"""The entry that calls targets itself, without an agent in between."""
