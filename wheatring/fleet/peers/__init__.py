"""The sockets between the sidecars of one fleet, and the objects that run the fleet's deciders on them.

Imported only where the configuration file has a `[fleet]` table. Nothing is decided here: `lease`, `members`,
`plan`, `skew` and `schedule` decide, free of I/O, and this package gives them datagrams, streams, clocks and
roles to work on.
"""
