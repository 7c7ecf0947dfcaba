"""The benchmark: compares the sidecar with a bare relay and a plain reverse proxy on the same core.

`upstream`, `relay` and `web` are small programs, `run` starts and measures them, `table` formats the report.
Only ratios can be compared between machines.
"""
