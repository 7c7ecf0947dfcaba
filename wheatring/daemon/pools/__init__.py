"""Several endpoint pools behind one listening socket; the configured routes choose the pool of each request.

Imported only if the configuration file has routes. `route_tables` builds routes from the file's tables.
`endpoint_selection` and `connection_budget` make the decisions; the former uses no I/O and no clock.
`active_route` is one route in force, `routed_pool` one pool, and `manual_overrides` applies the operators'
overrides to all endpoint lists. `request_router` dispatches requests by the routes in force, and `pool_set`
reconfigures pools and routes when the file changes.
"""
