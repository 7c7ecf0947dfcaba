"""The lab: the systems that a sidecar serves, in one process, in virtual time, with faults from a seed.

It plays scenarios against the real parts of the sidecar, checks the rules at each event and measures. It may
import everything below it; nothing but its own commands imports it.

A scenario (ranges, TOML) and a seed are drawn to a plan (`plan.py`: nothing is left to chance but what models
draw from random numbers named after them). A world is built from the plan in one of two grains: `wire`, in
which every byte passes the parsers, and `exchange`, in which requests and attempts reach the models without
bytes. Models (`models/`) know neither sockets nor the sidecar; `wire/` and `direct/` attach them to it, and
`net/` is virtual time and network. All report events by `event_recorder.py` to the invariant checker
(`rules/`).
"""
