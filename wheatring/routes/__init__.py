"""Which pool a request goes to, and whether it is taken at all: decided before there is a job.

Deciders, free of I/O, clocks and randomness but what is handed in: the table of routes, the split of one
route over pools, tiers within a pool, and limits. May import the log's and the decision module's words, and
nothing of the core or the protocols.
"""
