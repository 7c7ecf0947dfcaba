"""The systems served, each a small class with its own stated rules: nodes, discovery, clients, the front.

They know neither sockets nor the sidecar: time, randomness, the book and what lies below are handed in. They
may import `plan`, `origins`, `timers` and `book` of the lab, and nothing of the sidecar.
"""
