"""Load-balancing decisions for service-to-service requests, without I/O or clocks."""
