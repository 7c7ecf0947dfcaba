"""How a sidecar comes, goes and knows what is true: pure deciders, handed the time, the evidence and the
random numbers.

Nothing here reads a clock, a socket or a file. It may import the decision module's words and what stands
below; the core, the protocols and the daemon ask it.
"""
