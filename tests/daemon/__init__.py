"""Tests of the sidecar in service, by package."""
