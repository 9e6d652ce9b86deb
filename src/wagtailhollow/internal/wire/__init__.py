"""Messages and authenticated connections between the processes."""
