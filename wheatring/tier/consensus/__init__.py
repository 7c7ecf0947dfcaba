"""Consensus on the control state: elections, replication and membership changes, free of I/O."""
