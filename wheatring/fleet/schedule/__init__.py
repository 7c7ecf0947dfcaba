"""The plan's calendar: the weights in force at each instant of a clock that the fleet agrees on.

Does no I/O; imported only if the configuration file has a `[plan]` table.
"""
