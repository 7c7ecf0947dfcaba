"""The admin API of one sidecar: an HTTP server for operators' calls, separate from the callers' server.

`server` parses a call, `dispatch` routes it, and `service` carries it out in this process and, through shared
files, in other processes of the same sidecar. The decisions on drains and endpoints are in
`wheatring.daemon.lifecycle`. Imported only if the configuration contains a `control` address. The controllers
of the serving tier are a separate program: `wheatring.tier.controller`.
"""
