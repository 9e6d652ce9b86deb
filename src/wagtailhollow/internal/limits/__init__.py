"""Rate, concurrency and token limits of organisations."""
