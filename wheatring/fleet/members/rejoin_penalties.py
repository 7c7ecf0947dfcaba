"""Damping of members that are removed again and again: each removal costs, and the cost decays.

After BGP route flap damping (RFC 2439). No I/O; `now` is monotonic, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable

PENALTY_HALF_LIFE_SECONDS = 60.0
MAX_REJOIN_WAIT_SECONDS = 60.0
MIN_DAMPED_PENALTY = 2  # below it a member is admitted at once
MAX_PENALTIES = 4000  # members that a penalty is kept of


class RejoinPenalties:
    """The penalties of members, by name: 1 for each removal, halved every half-life."""

    def __init__(self) -> None:
        self._penalties: dict[str, tuple[float, float]] = {}  # how much, as of when

    def penalty(self, now: float, name: str) -> float:
        """Return what the removals of a member cost by now."""
        penalty, at = self._penalties.get(name, (0.0, now))
        return penalty * float(0.5 ** ((now - at) / PENALTY_HALF_LIFE_SECONDS))

    def add(self, now: float, names: Iterable[str]) -> None:
        """Count a removal of each of these."""
        for name in names:
            self._penalties[name] = (self.penalty(now, name) + 1.0, now)
        while len(self._penalties) > MAX_PENALTIES:
            del self._penalties[next(iter(self._penalties))]

    def rejoin_wait_seconds(self, now: float, name: str) -> float:
        """Return the seconds that a member waits yet; 0: it may be admitted."""
        penalty, at = self._penalties.get(name, (0.0, now))
        if penalty < MIN_DAMPED_PENALTY:
            return 0.0
        return max(0.0, at + min(MAX_REJOIN_WAIT_SECONDS, float(2.0**penalty)) - now)
