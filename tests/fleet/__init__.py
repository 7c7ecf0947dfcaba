"""Tests of the fleet's membership, leases, views and plan, by package."""
