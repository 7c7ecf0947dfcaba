"""The simulated world: a plan, run at one grain.

`world.py` connects the models, the invariant checker and the environment; `events.py` injects the events of
the plan; `sidecar_slots.py` starts and stops sidecars. An environment connects the models to the sidecar's
own code at one grain. The package may import all of the lab, and the sidecar's packages.
"""
