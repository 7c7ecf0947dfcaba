"""Draining: a sidecar out of service sends its clients away, and does not end.

The front asks ten times a second and stops new connections 0.2 s after a no; clients go on using those they
have. At 4 s none may be idle, or have brought a request within the last 2 s. So, in seconds since the call:

- from 0 on each answer is the last one on its connection;
- from STOPPED to EMPTY the connections between requests are closed in even steps, the longest idle first:
  closed all at once their callers would come anew elsewhere in one moment;
- from EMPTY on whatever stands between requests is closed at once.

Pure: instants are handed in.
"""

from __future__ import annotations

STOPPED = 0.35
EMPTY = 1.7
RESTED = 0.3  # until then none is closed that has stood for less: its caller is about to ask again


class Drain:
    """One time out of service; `standing` connections stood between requests when it began."""

    def __init__(self, told: float, standing: int) -> None:
        self.told = told
        self.standing = standing

    def keep(self, now: float) -> int:
        """How many connections may still stand between requests."""
        since = now - self.told
        if since >= EMPTY:
            return 0
        return round(self.standing * min(1.0, (EMPTY - since) / (EMPTY - STOPPED)))
