"""The fleet of sidecars in service: membership, leases, the shared plan, and the transport between peers."""
