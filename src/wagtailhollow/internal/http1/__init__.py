"""HTTP/1.1 client that never retries a request by itself."""
