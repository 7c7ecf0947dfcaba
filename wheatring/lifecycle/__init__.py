"""How a sidecar comes, stays up to date and leaves: deciders, free of I/O, clocks and randomness but what is
handed in. May import the decision module's words and what stands on the floor below.
"""
