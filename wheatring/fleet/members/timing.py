"""How often members probe each other, and how long a silent one may be suspected. All times in seconds."""

from __future__ import annotations

from math import ceil, log, log10
from typing import NamedTuple


class SwimTiming(NamedTuple):
    """The parameters of SWIM with Lifeguard's dynamic suspicion."""

    probe_interval_seconds: float = 1.0
    probe_timeout_seconds: float = 0.3  # after it others are asked to probe
    indirect_probes: int = 3  # how many others are asked
    suspicion_multiplier: float = 4.0  # of the shortest time that a suspect has
    max_suspicion_multiplier: float = 6.0  # of that, while nobody else suspects it
    confirmations: int = 2  # suspicions by others that bring it down to the shortest
    retransmit_multiplier: float = 4.0  # of how often an update is passed on
    reclaim_seconds: float = 120.0  # after which a member that left or died is forgotten
    sync_seconds: float = 20.0  # between two exchanges of all that is known, in a small fleet,
    sync_seconds_per_member: float = 0.2  # and in a large one for each member, so that the cost is bounded
    joins_per_second: float = 60.0  # where all start at once, members that join in a second,
    max_join_delay_seconds: float = 3.0  # and how long that delays one at most

    def min_suspicion_seconds(self, members: int) -> float:
        """Return the shortest time that a suspect has to refute, in a fleet of so many members."""
        return self.suspicion_multiplier * max(1.0, log10(max(1, members))) * self.probe_interval_seconds

    def suspicion_seconds(self, members: int, confirmed_by: int) -> float:
        """Return how long a suspect has to refute (Lifeguard, "LHA-Suspicion").

        Parameters
        ----------
        members : int
            How many members the fleet has.
        confirmed_by : int
            How many others suspect it too: the more, the less time it has.
        """
        shortest = self.min_suspicion_seconds(members)
        needed = min(self.confirmations, max(0, members - 2))
        if confirmed_by >= needed:
            return shortest
        longest = shortest * self.max_suspicion_multiplier
        return longest - (longest - shortest) * log(confirmed_by + 1) / log(needed + 1)

    def transmit_limit(self, members: int) -> int:
        """Return how often one member passes an update on."""
        return ceil(self.retransmit_multiplier * log10(members + 1)) + 1

    def sync_interval_seconds(self, members: int) -> float:
        """Return the time between two exchanges of all that is known."""
        return max(self.sync_seconds, self.sync_seconds_per_member * members)
