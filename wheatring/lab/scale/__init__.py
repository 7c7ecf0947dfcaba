"""How the tier's cost grows: real controllers and storage replicas beside hollow sidecars on loopback."""
