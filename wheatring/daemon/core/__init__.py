"""The core of the daemon: requests, attempts, deadlines, the one final answer, and the balancer's driver.

It is independent of protocols and makes no balancing decisions. It may import the balancer's interface, the
log and its own modules.
"""
