"""HTTP/1.1 in the daemon: server for callers, connections to endpoints, and the discovery client."""
