"""What a process on a deployed host learns from its host's settings."""
