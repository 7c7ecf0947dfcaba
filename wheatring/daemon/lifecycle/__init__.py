"""Start, shutdown, handover and the freshness of the endpoint list: deciders that are handed the time.

All but `handover`, which reads and writes its files, are pure: no clock, no socket, no file. They may import
the decision module's messages and what stands below; the core, the protocols and the daemon ask them.
"""
