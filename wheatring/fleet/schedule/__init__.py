"""The plan's calendar: which weights are in force at which instant, by a time that the whole fleet agrees on.

Does no I/O; imported only where the operator's file has a `[plan]` section.
"""
