"""The daemon: one real sidecar, wired from its parts, and what happens to it while it runs."""
