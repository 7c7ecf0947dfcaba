"""The fleet of sidecars in service: membership, leases, one plan, and what carries them between peers."""
