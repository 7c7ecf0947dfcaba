"""What the sidecars' calls cost discovery, and when each sidecar has its list."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.lab.outcome import DiscoveryCallFigures


class DiscoveryCalls:
    """Counts calls by second. `since` gives the seconds from the start of the day to an instant."""

    def __init__(self, since: Callable[[float], float]) -> None:
        self.since = since
        self.figures = DiscoveryCallFigures()
        self.open_calls: dict[str, int] = {}  # calls by sidecar that are open
        self.started_at: dict[str, float] = {}  # when each did, the last time
        self.answered: set[str] = set()  # sidecars whose last call that ended by itself was answered

    def record_call(self, sidecar: str, at: float) -> None:
        """Note a call of a sidecar to discovery."""
        self.figures.calls += 1
        self.open_calls[sidecar] = self.open_calls.get(sidecar, 0) + 1
        if sidecar not in self.answered:
            self.figures.asks += 1
            self._count(self.figures.asked, at)

    def record_answer(self, sidecar: str, at: float) -> None:
        """Note that discovery has answered a call of a sidecar."""
        self.figures.brought += 1
        self.figures.first.setdefault(sidecar, round(at - self.started_at.get(sidecar, at), 3))
        self.open_calls[sidecar] = 0
        self.answered.add(sidecar)

    def up(self, sidecar: str, at: float) -> None:
        """Note that a sidecar has started without a list."""
        self.started_at[sidecar] = at
        self.figures.started[sidecar] = round(max(0.0, self.since(at)), 3)
        self.figures.first.pop(sidecar, None)
        self.open_calls.pop(sidecar, None)
        self.answered.discard(sidecar)

    def record_end(self, sidecar: str, failed: bool, at: float) -> None:
        """Note that a call has ended, perhaps by a failure."""
        if failed:
            self.figures.failed += 1
            self.answered.discard(sidecar)
            self._count(self.figures.failed_by_second, at)
        elif self.open_calls.get(sidecar) and sidecar not in self.answered:
            self.figures.given_up += 1
        self.open_calls[sidecar] = 0

    def _count(self, rows: list[int], at: float) -> None:
        second = max(0, int(self.since(at)))
        rows.extend([0] * (second + 1 - len(rows)))
        rows[second] += 1
