"""A small whole tier on loopback, to see it work."""
