"""Flap damping of members that are removed repeatedly: each removal adds a penalty, which decays.

Based on BGP route flap damping (RFC 2439). No I/O; `now` is monotonic, in seconds.
"""

from __future__ import annotations

from collections.abc import Iterable

PENALTY_HALF_LIFE_SECONDS = 60.0
MAX_REJOIN_WAIT_SECONDS = 60.0
MIN_DAMPED_PENALTY = 2  # a member with a lower penalty is admitted without delay
MAX_PENALTIES = 4000  # members with a stored penalty


class RejoinPenalties:
    """The penalties of members, by name: 1 for each removal, halved every half-life."""

    def __init__(self) -> None:
        self._penalties: dict[str, tuple[float, float]] = {}  # penalty and the time of its last update

    def penalty(self, now: float, name: str) -> float:
        """Return the decayed penalty of a member."""
        penalty, updated_at = self._penalties.get(name, (0.0, now))
        return penalty * float(0.5 ** ((now - updated_at) / PENALTY_HALF_LIFE_SECONDS))

    def add(self, now: float, names: Iterable[str]) -> None:
        """Add a removal to the penalty of each member."""
        for name in names:
            self._penalties[name] = (self.penalty(now, name) + 1.0, now)
        while len(self._penalties) > MAX_PENALTIES:
            del self._penalties[next(iter(self._penalties))]

    def rejoin_wait_seconds(self, now: float, name: str) -> float:
        """Return the seconds until a member may be admitted; 0 if it may be now."""
        penalty, updated_at = self._penalties.get(name, (0.0, now))
        if penalty < MIN_DAMPED_PENALTY:
            return 0.0
        return max(0.0, updated_at + min(MAX_REJOIN_WAIT_SECONDS, float(2.0**penalty)) - now)
