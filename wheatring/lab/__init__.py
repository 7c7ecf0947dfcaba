"""The lab: a deterministic simulation of the systems around the sidecars, with fault injection from a seed.

It runs scenarios in one process, in virtual time, against the real parts of the sidecar, checks invariants
at each event and measures. It may import all layers below it; only its own commands import it.

A plan (`plan.py`) is drawn from a scenario (TOML with ranges) and a seed. Further random values come only
from generators of the models, each seeded by its name. A world is built from the plan at one of two grains:
`wire`, at which every byte passes the parsers, and `exchange`, at which requests and attempts reach the
models without serialisation. Models (`models/`) know neither sockets nor the sidecar; `wire/` and `direct/`
attach them to it, and `net/` has virtual time and the simulated network. All report events through
`event_recorder.py` to the invariant checker (`rules/`).
"""
