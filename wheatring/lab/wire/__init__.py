"""HTTP/1.1 peers of sidecars: nodes, discovery and callers as Twisted protocols, on any reactor.

They run on the lab's simulated network and on a real one. They have their own message parser (`http`), as a
fault of the sidecar's parser would go unnoticed if its peers shared it. The package may import `models`,
`plan`, `event_recorder`, `correlation` and `timers` of the lab, Twisted and msgspec, and nothing of the
sidecar.
"""
