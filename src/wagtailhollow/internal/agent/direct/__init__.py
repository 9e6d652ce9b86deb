"""The agent that only watches its target and changes its expert map."""
