"""Changes of a group's expert map while it serves, by its agents."""
