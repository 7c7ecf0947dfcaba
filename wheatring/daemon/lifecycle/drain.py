"""Draining: a sidecar out of service sends its clients away, and does not end.

The front asks ten times a second and stops new connections 0.2 s after a no; clients go on using those they
have. At 4 s none may be idle, or have brought a request within the last 2 s. So, in seconds since the call:

- from 0 on each answer is the last one on its connection;
- from CLOSING_FROM_SECONDS to CLOSED_BY_SECONDS the connections between requests are closed in even
  steps, the longest idle first: closed all at once their callers would come anew elsewhere in one moment;
- from then on whatever is between requests is closed at once.

Pure: instants are handed in.
"""

from __future__ import annotations

CLOSING_FROM_SECONDS = 0.35
CLOSED_BY_SECONDS = 1.7
MIN_IDLE_SECONDS = 0.3  # until then none is closed that has stood for less: its caller is about to ask again


class Drain:
    """One time out of service, since `started_at`; `idle_at_start` connections were between requests then."""

    def __init__(self, started_at: float, idle_at_start: int) -> None:
        self.started_at = started_at
        self.idle_at_start = idle_at_start

    def max_idle(self, now: float) -> int:
        """Return how many connections may still stand between requests."""
        since = now - self.started_at
        if since >= CLOSED_BY_SECONDS:
            return 0
        remaining = (CLOSED_BY_SECONDS - since) / (CLOSED_BY_SECONDS - CLOSING_FROM_SECONDS)
        return round(self.idle_at_start * min(1.0, remaining))
