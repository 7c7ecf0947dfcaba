"""The sidecar of the serving tier: clients on one side, endpoints on the other.

`process` owns all state. `client_connection` reads requests, `request_service` finds their route and has
`plain_requests` or `streaming_requests` answer them by a `forwarder`, which makes the attempts that
`service_balancer` asks for over the connections of `connection_pool`.
"""
