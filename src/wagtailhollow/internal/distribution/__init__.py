"""Distributes versioned documents to all nodes."""
