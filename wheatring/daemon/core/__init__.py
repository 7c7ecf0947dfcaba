"""The core of the daemon: requests, attempts, deadlines, the one final answer, and the balancer's driver.

It knows no protocol and decides nothing. It may import the balancer's interface, the log and its own modules.
"""
