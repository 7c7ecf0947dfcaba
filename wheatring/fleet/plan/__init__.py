"""The fleet's versioned plan: its document, and the rollout that replicates and commits it.

Any sidecar accepts a proposal; the leader rolls it out and commits it through the register `plan`. The
package does no I/O and is imported only if the configuration file has a `[plan]` table.
"""
