"""The deployed configuration and the registered targets."""
