"""Decisions on start, shutdown, handover and the freshness of the endpoint list.

All modules but `handover`, which reads and writes files, are pure: they use no clock, socket or file, and the
caller passes the time. They may import the messages of the balancer and the packages below it; the core, the
protocols and the daemon call them.
"""
