"""Timing parameters of SWIM: probes, suspicions and state exchanges. All times are in seconds."""

from __future__ import annotations

from math import ceil, log, log10
from typing import NamedTuple


class SwimTiming(NamedTuple):
    """The parameters of SWIM with Lifeguard's dynamic suspicion."""

    probe_interval_seconds: float = 1.0
    probe_timeout_seconds: float = 0.3  # the time until indirect probes are requested
    indirect_probes: int = 3  # members asked for an indirect probe
    suspicion_multiplier: float = 4.0  # factor of the shortest time that a suspect has to refute
    max_suspicion_multiplier: float = 6.0  # the longest time to refute, relative to the shortest
    confirmations: int = 2  # further suspecting members that reduce the time to the shortest
    retransmit_multiplier: float = 4.0  # factor of the number of times that an update is sent
    reclaim_seconds: float = 120.0  # a member that left or died is deleted after this time
    sync_seconds: float = 20.0  # the time between two exchanges of the full state in a small fleet
    sync_seconds_per_member: float = 0.2  # the same in a large fleet, so that the cost is bounded
    joins_per_second: float = 60.0  # spreads the joins of members that start simultaneously
    max_join_delay_seconds: float = 3.0  # upper bound of the delay that `joins_per_second` causes

    def min_suspicion_seconds(self, members: int) -> float:
        """Return the shortest time that a suspect has to refute."""
        return self.suspicion_multiplier * max(1.0, log10(max(1, members))) * self.probe_interval_seconds

    def suspicion_seconds(self, members: int, confirmed_by: int) -> float:
        """Return how long a suspect has to refute (Lifeguard, "LHA-Suspicion").

        Parameters
        ----------
        members : int
            Number of members in the fleet.
        confirmed_by : int
            Number of further members that suspect it: the more, the shorter the time.
        """
        shortest = self.min_suspicion_seconds(members)
        needed = min(self.confirmations, max(0, members - 2))
        if confirmed_by >= needed:
            return shortest
        longest = shortest * self.max_suspicion_multiplier
        return longest - (longest - shortest) * log(confirmed_by + 1) / log(needed + 1)

    def transmit_limit(self, members: int) -> int:
        """Return how often a member sends an update."""
        return ceil(self.retransmit_multiplier * log10(members + 1)) + 1

    def sync_interval_seconds(self, members: int) -> float:
        """Return the time between two exchanges of the full state."""
        return max(self.sync_seconds, self.sync_seconds_per_member * members)
