"""How often members look after each other, and how long who is silent may be. Seconds."""

from __future__ import annotations

from math import ceil, log, log10
from typing import NamedTuple


class Pace(NamedTuple):
    period: float = 1.0  # from one probe to the next
    timeout: float = 0.3  # for an answer; after that others are asked to probe
    helpers: int = 3  # that many
    patience: float = 4.0  # factor of the least time that a suspect has
    most_patience: float = 6.0  # and how much longer it has while nobody else suspects it
    confirmations: int = 2  # that bring it down to the least
    repeats: float = 4.0  # factor of how often a rumour is passed on
    forget: float = 120.0  # after which who has left or died is forgotten
    sync: float = 20.0  # between two exchanges of all that is known, in a small fleet
    sync_each: float = 0.2  # and so much for each member in a large one: what it costs stays the same
    joining: float = 60.0  # members a second that join when all start at once,
    joining_most: float = 3.0  # and for how long at most

    def least(self, members: int) -> float:
        return self.patience * max(1.0, log10(max(1, members))) * self.period

    def suspicion(self, members: int, confirmed: int) -> float:
        """How long a suspect has to refute, of so many members, when so many others suspect it too:
        Lifeguard's dynamic suspicion.
        """
        least = self.least(members)
        wanted = min(self.confirmations, max(0, members - 2))
        if confirmed >= wanted:
            return least
        most = least * self.most_patience
        return most - (most - least) * log(confirmed + 1) / log(wanted + 1)

    def times(self, members: int) -> int:
        """How often one member passes a rumour on."""
        return ceil(self.repeats * log10(members + 1)) + 1

    def exchange(self, members: int) -> float:
        return max(self.sync, self.sync_each * members)
