"""The sidecar of the serving tier, which forwards requests of clients to endpoints.

`process` owns all state. `client_connection` reads requests, and `request_service` finds their route and
delegates them to `plain_requests` or `streaming_requests`. These use a `forwarder`, which makes the attempts
that `service_balancer` decides on over connections of `connection_pool`.
"""
