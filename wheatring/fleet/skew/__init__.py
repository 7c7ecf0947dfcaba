"""Version skew: whether every member of the view can read a plan and means the same by it.

The compatibility check of a rollout, and the minimum format that a member has to read to enter the view. Does
no I/O; imported only where the operator's file has a `[plan]` section.
"""
