"""Entry that calls targets directly, without an agent in between."""
