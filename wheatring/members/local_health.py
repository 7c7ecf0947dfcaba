"""Lifeguard's local health: how far a member should distrust what it finds, as it may be slow itself."""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """0 is well. Probes take and give `score + 1` times as long."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        self.score = min(MAX_SCORE, self.score + 1)

    def recover(self) -> None:
        self.score = max(0, self.score - 1)

    def scaled(self, seconds: float) -> float:
        return seconds * (self.score + 1)
