"""Models of what surrounds the sidecars: clients, the front's load balancer, nodes and the discovery service.

Each model is a small class with its own stated rules. The models know neither sockets nor sidecars: time,
randomness, the book that records what happens, and the transport to the next sidecar are passed in. They may
import `plan`, `origins`, `timers` and `book` of the lab, and nothing of the sidecar.
"""
