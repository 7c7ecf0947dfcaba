"""Version skew: checks that every member of the view can read a plan and interprets it identically.

Contains the compatibility check of a rollout and the minimum plan format required to enter the view. Does no
I/O; imported only if the configuration file has a `[plan]` table.
"""
