"""UDP messages between hosts, sent repeatedly instead of acknowledged."""
