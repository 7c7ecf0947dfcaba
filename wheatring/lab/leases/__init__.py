"""Checks of leases and membership: a model checker, drawn days of a virtual fleet, and measurements."""
