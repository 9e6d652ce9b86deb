"""Small messages between hosts that are repeated rather than confirmed."""
