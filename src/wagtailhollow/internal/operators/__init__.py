"""The operators' client, and what the daemons serve to it."""
