"""Models of what surrounds the sidecars: clients, the front's load balancer, nodes and the discovery service.

Each model is a small class with its own stated rules. The models know neither sockets nor sidecars: time,
randomness, the recorder of events and the transport to the next sidecar are passed in. They may import the
lab's plan, timers, correlation table and interface of the recorder, and nothing of the sidecar.
"""
