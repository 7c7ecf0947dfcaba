"""The benchmark: the sidecar beside a bare relay and a plain reverse proxy, on one core each, in one run.

`upstream`, `relay` and `web` are small programs, `run` starts and measures them, `table` shows the result.
Only ratios travel from machine to machine.
"""
