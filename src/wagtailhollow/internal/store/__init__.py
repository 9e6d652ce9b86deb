"""Interface to the platform's object API and host list, and its adapter."""
