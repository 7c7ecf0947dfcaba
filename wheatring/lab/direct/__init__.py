"""Grain `exchange`: sidecars simulated by direct calls, without sockets or bytes.

The service's own core and balancer run unchanged; only the transport of requests and attempts is replaced.
The package may import the core, the balancer, the endpoint list, the daemon's constants, and the lab's
interfaces and models. Nothing here opens a socket, and connections are not logged.
"""
