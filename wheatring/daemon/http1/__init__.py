"""HTTP/1.1 of the daemon: callers' connections, connections to endpoints, and discovery's client."""
