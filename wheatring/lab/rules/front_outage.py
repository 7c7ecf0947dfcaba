"""Measures the time in which all front sidecars were down, so that clients could reach none."""

from __future__ import annotations

from collections.abc import Iterable

NEW_REQUESTS_AFTER_STOP_SECONDS = 0.4  # how long after SIGTERM clients are still sent to a sidecar


class FrontOutage:
    """Sums the outages of the front since `start`, the start of the day. Times never decrease."""

    def __init__(self, front: Iterable[str], start: float) -> None:
        self.start = start
        self.down_since = dict.fromkeys(sorted(front), start)
        self.count = len(self.down_since)
        self.total_seconds = 0.0

    def stopping(self, sidecar: str, at: float) -> None:
        """Record that a sidecar was sent SIGTERM."""
        if sidecar not in self.down_since:
            self.down_since[sidecar] = at + NEW_REQUESTS_AFTER_STOP_SECONDS

    def down(self, sidecar: str, at: float) -> None:
        """Record that a sidecar has ended."""
        self.down_since[sidecar] = min(at, self.down_since.get(sidecar, at))

    def up(self, sidecar: str, at: float) -> None:
        """Record that a sidecar has started."""
        if len(self.down_since) == self.count:
            self.total_seconds += max(0.0, at - max(self.start, *self.down_since.values()))
        self.down_since.pop(sidecar, None)
