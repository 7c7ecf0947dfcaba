"""The operators' calls of one sidecar: an HTTP server of their own and a table of calls.

`server` reads a call, `dispatch` finds what it asks for, `service` carries it out in this process and passes
it on to another process of the same sidecar. What is decided about drains and endpoints is in
`wheatring.daemon.lifecycle`. Imported only where the configuration names a `control` address. The controllers
of the serving tier are another program: `wheatring.tier.controller`.
"""
