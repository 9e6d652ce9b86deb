"""Settings files: typed, validated before anything starts."""
