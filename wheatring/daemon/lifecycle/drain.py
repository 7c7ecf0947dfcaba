"""Draining: a sidecar that is out of service closes its callers' connections but keeps running.

The load balancer in front checks the health ten times a second and opens no new connections from 0.2 s after
a negative answer; callers continue to use their open connections. 4 s after the call, no connection may be
idle or have carried a request within the last 2 s. Therefore, in seconds since the call:

- from 0 on, each response closes its connection;
- from CLOSING_FROM_SECONDS to CLOSED_BY_SECONDS, idle connections are closed at an even rate, the longest
  idle first: if all were closed simultaneously, their callers would all reconnect elsewhere simultaneously;
- after that, every idle connection is closed.

Pure: the caller passes the time.
"""

from __future__ import annotations

CLOSING_FROM_SECONDS = 0.35
CLOSED_BY_SECONDS = 1.7
MIN_IDLE_SECONDS = 0.3  # a caller that has been idle for less may be about to send its next request


class Drain:
    """One drain, from `started_at`, when `idle_at_start` connections were idle."""

    def __init__(self, started_at: float, idle_at_start: int) -> None:
        self.started_at = started_at
        self.idle_at_start = idle_at_start

    def max_idle(self, now: float) -> int:
        """Return the number of connections that may still be idle."""
        elapsed = now - self.started_at
        if elapsed >= CLOSED_BY_SECONDS:
            return 0
        remaining = (CLOSED_BY_SECONDS - elapsed) / (CLOSED_BY_SECONDS - CLOSING_FROM_SECONDS)
        return round(self.idle_at_start * min(1.0, remaining))
