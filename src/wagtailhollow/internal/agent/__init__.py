"""The agent daemon: the only way to its target."""
