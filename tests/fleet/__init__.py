"""Tests of what the sidecars in service agree on, by package."""
