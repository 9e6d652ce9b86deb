"""Shared by the daemons: life cycle, HTTP server, reloading of settings."""
