"""Singleton roles: leases of fleet-wide roles, granted by acceptors that keep nothing on disk.

Sans-I/O protocol code after "PaxosLease: Diskless Paxos for Leases" (Trencseni, Gazso and Reinhardt, 2012).
Imported only if the configuration file has a `[fleet]` table.
"""
