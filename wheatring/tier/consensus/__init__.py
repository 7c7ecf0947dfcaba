"""Consensus on the control state: elections, replication and voter changes, without I/O."""
