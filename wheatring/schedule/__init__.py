"""Weights by calendar, all at one instant of the fleet's time. No I/O; imported only with `[plan]`."""
