"""The models on HTTP/1.1: nodes, discovery and callers as Twisted protocols, on any reactor.

They run on the lab's virtual network and on a real one alike. They read messages with a parser of their own
(`http`), so that a fault of the sidecar's can't hide in its peers. This may import `models`, `plan`,
`event_recorder`, `correlation` and `timers` of the lab, Twisted and msgspec, and nothing of the sidecar.
"""
