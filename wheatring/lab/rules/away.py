"""How long clients found nobody: the time in which every sidecar of the front was away."""

from __future__ import annotations

from collections.abc import Iterable

ARRIVE = 0.4  # seconds after SIGTERM from which on nobody new is sent to a sidecar


class Away:
    """`start`: the instant at which the day begins. Instants that are handed in never go back."""

    def __init__(self, front: Iterable[str], start: float) -> None:
        self.start = start
        self.since = dict.fromkeys(sorted(front), start)  # of those that are away
        self.count = len(self.since)
        self.gap = 0.0  # seconds

    def stopping(self, sidecar: str, at: float) -> None:
        if sidecar not in self.since:
            self.since[sidecar] = at + ARRIVE

    def down(self, sidecar: str, at: float) -> None:
        self.since[sidecar] = min(at, self.since.get(sidecar, at))

    def up(self, sidecar: str, at: float) -> None:
        if len(self.since) == self.count:
            self.gap += max(0.0, at - max(self.start, *self.since.values()))
        self.since.pop(sidecar, None)
