"""A load balancer, in two programs.

One is a sidecar that runs next to each caller of a tier (`wheatring.daemon`). The other is a serving tier for
agent programs: sidecars, controllers and storage replicas (`wheatring.tier`). Both use the load-balancing
decisions of `wheatring.balancer`.
"""

__version__ = "0.1.0"
