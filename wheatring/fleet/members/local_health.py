"""Lifeguard's local health: a measure of whether this member may be slow itself."""

from __future__ import annotations

MAX_SCORE = 8


class LocalHealth:
    """A score that is 0 in good health. Probe intervals and time-outs are multiplied by `score + 1`."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self) -> None:
        """Raise the score after a sign that this member is slow itself."""
        self.score = min(MAX_SCORE, self.score + 1)

    def recover(self) -> None:
        """Lower the score after a sign that this member is not slow."""
        self.score = max(0, self.score - 1)

    def scaled(self, seconds: float) -> float:
        """Return a time-out or an interval scaled by the score."""
        return seconds * (self.score + 1)
