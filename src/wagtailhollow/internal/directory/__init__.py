"""What a deployment consists of: routes, services, organisations, targets."""
