"""The operators' table of weights and limits."""
