"""Switches of a running group's expert map, coordinated by its agents."""
