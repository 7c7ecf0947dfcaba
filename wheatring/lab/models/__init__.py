"""Models of the systems around the sidecars: clients, front load balancer, nodes and discovery service.

The models know neither sockets nor sidecars: time, randomness, the event recorder and the transport to the
next sidecar are passed in. They may import the lab's plan, timers, correlation table and the recorder's
interface, and nothing of the sidecar.
"""
