"""The world: a plan and a grain, put together and played.

`world.py` wires models, book and ground; `events.py` makes happen what the plan says; `slots.py` starts and
ends sidecars. A ground is one grain's way to attach the models to the real parts of the sidecar. May import
all of the lab, and the sidecar's parts.
"""
