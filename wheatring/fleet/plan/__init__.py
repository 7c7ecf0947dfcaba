"""The fleet's one versioned plan: its document, and the rollout that replicates and commits it.

A plan is proposed at any sidecar, rolled out by the leader and committed through the register `plan`. Does no
I/O; imported only where the operator's file has a `[plan]` section.
"""
