"""Singleton roles: leases of fleet-wide roles, granted by acceptors that keep nothing on disk.

Deciders without I/O, after "PaxosLease: Diskless Paxos for Leases" (Trencseni, Gazso and Reinhardt, 2012).
Imported only where the configuration file has a `[fleet]`.
"""
