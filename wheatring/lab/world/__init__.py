"""The world: a plan and a grain, put together and played.

`world.py` wires the models, the invariant checker and the environment; `events.py` injects the events of the
plan; `sidecar_slots.py` starts and ends sidecars. An environment is one grain's way to attach the models to
the real parts of the sidecar. May import all of the lab, and the sidecar's parts.
"""
