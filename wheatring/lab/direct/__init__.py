"""The `exchange` grain: sidecars without bytes. The service's own core and decisions meet the models in jobs
and claims; only what carries these is other code.

It may import the core, the decisions, the machine list, the daemon's figures, and the lab's seams and models.
Nothing here opens a socket, and no connection leaves a line in the log.
"""
