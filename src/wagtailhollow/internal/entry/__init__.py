"""The entry daemon: from the caller's HTTP request to the agents."""
