"""Counts the sidecars' calls to discovery, and measures when each sidecar gets its first list."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.lab.outcome import DiscoveryCallFigures


class DiscoveryCalls:
    """Counts calls by second. `day_seconds` converts a time to seconds since the start of the day."""

    def __init__(self, day_seconds: Callable[[float], float]) -> None:
        self.day_seconds = day_seconds
        self.figures = DiscoveryCallFigures()
        self.open_calls: dict[str, int] = {}  # by sidecar
        self.started_at: dict[str, float] = {}  # last start of each sidecar
        self.answered: set[str] = set()  # sidecars whose last finished call was answered

    def record_call(self, sidecar: str, at: float) -> None:
        """Record a call of a sidecar to discovery."""
        self.figures.calls += 1
        self.open_calls[sidecar] = self.open_calls.get(sidecar, 0) + 1
        if sidecar not in self.answered:
            self.figures.asks += 1
            self._count(self.figures.asked, at)

    def record_answer(self, sidecar: str, at: float) -> None:
        """Record that discovery has answered a call of a sidecar."""
        self.figures.brought += 1
        self.figures.first.setdefault(sidecar, round(at - self.started_at.get(sidecar, at), 3))
        self.open_calls[sidecar] = 0
        self.answered.add(sidecar)

    def sidecar_up(self, sidecar: str, at: float) -> None:
        """Record that a sidecar has started without a list."""
        self.started_at[sidecar] = at
        self.figures.started[sidecar] = round(max(0.0, self.day_seconds(at)), 3)
        self.figures.first.pop(sidecar, None)
        self.open_calls.pop(sidecar, None)
        self.answered.discard(sidecar)

    def record_end(self, sidecar: str, failed: bool, at: float) -> None:
        """Record that a call has ended without an answer; `failed` if it failed."""
        if failed:
            self.figures.failed += 1
            self.answered.discard(sidecar)
            self._count(self.figures.failed_by_second, at)
        elif self.open_calls.get(sidecar) and sidecar not in self.answered:
            self.figures.given_up += 1
        self.open_calls[sidecar] = 0

    def _count(self, counts: list[int], at: float) -> None:
        second = max(0, int(self.day_seconds(at)))
        counts.extend([0] * (second + 1 - len(counts)))
        counts[second] += 1
