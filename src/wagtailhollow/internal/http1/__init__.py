"""HTTP/1.1 client connections for calls that must not be sent twice."""
