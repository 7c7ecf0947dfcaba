"""Helpers for the tests of several packages: worlds, processes, and an event loop in virtual time."""
