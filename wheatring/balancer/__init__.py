"""The decisions of a load balancer for services that call services, free of I/O and clocks."""
