"""The agent that reports its engine's load and changes its expert map."""
