"""Crash-safe record files, and group commit to them from an event loop."""
