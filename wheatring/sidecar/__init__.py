"""The sidecar of the serving tier: clients on one side, endpoints on the other."""
