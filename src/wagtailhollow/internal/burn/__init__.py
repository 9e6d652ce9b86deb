"""Report on the burn rates of the service-level objectives."""
