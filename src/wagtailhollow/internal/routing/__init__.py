"""Choice of the target for a call."""
