"""Several pools of nodes behind one listening socket: which requests go to which, by the configured routes.

Imported only where the configuration file has routes. `route_tables` makes routes of the file's tables;
`endpoint_selection` and `connection_budget` decide, the former free of I/O and clocks; `active_route` is one
route in force, `routed_pool` one pool, `manual_overrides` the operators' orders over all endpoint lists.
`request_router` sends requests by the routes in force, and `pool_set` changes pools and routes with the file.
"""
