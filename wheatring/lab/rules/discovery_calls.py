"""What the sidecars' calls cost discovery, and when each sidecar has its list."""

from __future__ import annotations

from collections.abc import Callable

from wheatring.lab.outcome import DiscoveryCallFigures


class DiscoveryCalls:
    """Counts calls by second. `since` gives the seconds from the start of the day to an instant."""

    def __init__(self, since: Callable[[float], float]) -> None:
        self.since = since
        self.found = DiscoveryCallFigures()
        self.out: dict[str, int] = {}  # calls by sidecar that are open
        self.started: dict[str, float] = {}  # when each did, the last time
        self.held: set[str] = set()  # sidecars whose last call that ended by itself was answered

    def record_call(self, sidecar: str, at: float) -> None:
        """Note a call of a sidecar to discovery."""
        self.found.calls += 1
        self.out[sidecar] = self.out.get(sidecar, 0) + 1
        if sidecar not in self.held:
            self.found.asks += 1
            self._count(self.found.asked, at)

    def record_answer(self, sidecar: str, at: float) -> None:
        """Note that discovery has answered a call of a sidecar."""
        self.found.brought += 1
        self.found.first.setdefault(sidecar, round(at - self.started.get(sidecar, at), 3))
        self.out[sidecar] = 0
        self.held.add(sidecar)

    def up(self, sidecar: str, at: float) -> None:
        """Note that a sidecar has started without a list."""
        self.started[sidecar] = at
        self.found.started[sidecar] = round(max(0.0, self.since(at)), 3)
        self.found.first.pop(sidecar, None)
        self.out.pop(sidecar, None)
        self.held.discard(sidecar)

    def record_end(self, sidecar: str, failed: bool, at: float) -> None:
        """Note that a call has ended, perhaps by a failure."""
        if failed:
            self.found.failed += 1
            self.held.discard(sidecar)
            self._count(self.found.failed_by_second, at)
        elif self.out.get(sidecar) and sidecar not in self.held:
            self.found.given_up += 1
        self.out[sidecar] = 0

    def _count(self, rows: list[int], at: float) -> None:
        second = max(0, int(self.since(at)))
        rows.extend([0] * (second + 1 - len(rows)))
        rows[second] += 1
