"""Checks of leases and membership: a model checker, random days of a simulated fleet, and measurements."""
