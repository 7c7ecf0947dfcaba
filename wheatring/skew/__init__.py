"""Whether every sidecar of the view can understand a plan, and does. No I/O; imported only with `[plan]`."""
