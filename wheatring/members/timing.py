"""How often members look after each other, and how long who is silent may be. Seconds."""

from __future__ import annotations

from math import ceil, log, log10
from typing import NamedTuple


class SwimTiming(NamedTuple):
    probe_interval_seconds: float = 1.0  # from one probe to the next
    probe_timeout_seconds: float = 0.3  # for an answer; after that others are asked to probe
    indirect_probes: int = 3  # that many
    suspicion_multiplier: float = 4.0  # factor of the least time that a suspect has
    max_suspicion_multiplier: float = 6.0  # and how much longer it has while nobody else suspects it
    confirmations: int = 2  # that bring it down to the least
    retransmit_multiplier: float = 4.0  # factor of how often a rumour is passed on
    reclaim_seconds: float = 120.0  # after which who has left or died is forgotten
    sync_seconds: float = 20.0  # between two exchanges of all that is known, in a small fleet
    sync_seconds_per_member: float = (
        0.2  # and so much for each member in a large one: what it costs stays the same
    )
    joins_per_second: float = 60.0  # members a second that join when all start at once,
    max_join_delay_seconds: float = 3.0  # and for how long at most

    def min_suspicion_seconds(self, members: int) -> float:
        return self.suspicion_multiplier * max(1.0, log10(max(1, members))) * self.probe_interval_seconds

    def suspicion_seconds(self, members: int, confirmed_by: int) -> float:
        """How long a suspect has to refute, of so many members, when so many others suspect it too:
        Lifeguard's dynamic suspicion.
        """
        least = self.min_suspicion_seconds(members)
        wanted = min(self.confirmations, max(0, members - 2))
        if confirmed_by >= wanted:
            return least
        most = least * self.max_suspicion_multiplier
        return most - (most - least) * log(confirmed_by + 1) / log(wanted + 1)

    def transmit_limit(self, members: int) -> int:
        """How often one member passes a rumour on."""
        return ceil(self.retransmit_multiplier * log10(members + 1)) + 1

    def sync_interval_seconds(self, members: int) -> float:
        return max(self.sync_seconds, self.sync_seconds_per_member * members)
