"""How long clients reached no sidecar: the time in which every sidecar of the front was down."""

from __future__ import annotations

from collections.abc import Iterable

NEW_REQUESTS_AFTER_STOP_SECONDS = 0.4  # seconds after SIGTERM from which on nobody new is sent to a sidecar


class FrontOutage:
    """Sums up the outages of the front. `start` is the start of the day; instants only rise."""

    def __init__(self, front: Iterable[str], start: float) -> None:
        self.start = start
        self.since = dict.fromkeys(sorted(front), start)  # of those that are away
        self.count = len(self.since)
        self.gap = 0.0  # seconds

    def stopping(self, sidecar: str, at: float) -> None:
        """Note that a sidecar was told to stop."""
        if sidecar not in self.since:
            self.since[sidecar] = at + NEW_REQUESTS_AFTER_STOP_SECONDS

    def down(self, sidecar: str, at: float) -> None:
        """Note that a sidecar has ended."""
        self.since[sidecar] = min(at, self.since.get(sidecar, at))

    def up(self, sidecar: str, at: float) -> None:
        """Note that a sidecar has started."""
        if len(self.since) == self.count:
            self.gap += max(0.0, at - max(self.start, *self.since.values()))
        self.since.pop(sidecar, None)
