"""Settings of a process on a deployed host."""
