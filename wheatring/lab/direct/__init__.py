"""The grain `exchange`: sidecars without bytes, by direct calls.

The service's own core and decisions meet the models in requests and attempts; only what carries these is
other code. It may import the core, the decisions, the endpoint list, the daemon's figures, and the lab's
seams and models. Nothing here opens a socket, and no connection leaves a line in the log.
"""
