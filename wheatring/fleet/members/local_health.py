"""Lifeguard's local health: how far a member should distrust what it finds, as it may be slow itself."""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """A score that is 0 in good health. Probes take, and give others, `score + 1` times as long."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Count a sign that this member is slow itself."""
        self.score = min(MAX_SCORE, self.score + 1)

    def recover(self) -> None:
        """Count a sign that it isn't."""
        self.score = max(0, self.score - 1)

    def scaled(self, seconds: float) -> float:
        """Return a time-out or an interval, stretched by the score."""
        return seconds * (self.score + 1)
