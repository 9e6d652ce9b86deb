"""Messages and connections between the processes of one deployment."""
