"""The process side of a fleet: sockets between the sidecars, and the runtime of the fleet's protocols.

Imported only if the configuration file has a `[fleet]` table. The protocol logic is in `lease`, `members`,
`plan`, `skew` and `schedule`, which do no I/O. This package provides them with datagrams, streams, clocks and
role workers.
"""
