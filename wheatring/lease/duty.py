"""A duty of one sidecar: its places, its turn in the line for them, and whether it does what it took.

No I/O: `now` is on the clock that terms are measured on.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from random import Random

from wheatring.lease.claimant import Claimant, Out
from wheatring.lease.terms import Terms
from wheatring.lease.voters import Voters
from wheatring.lease.words import FromVoter

BREAK = 10.0  # terms for which one that held the duty and did nothing keeps out of the line


def leases(name: str, places: int) -> list[str]:
    """The names of a duty's places."""
    return [f"{name}/{number}" for number in range(places)]


class Duty:
    """`idle` is for how long it may be held with no act done: then it is given back, and left to others for a
    while. Acts are reported by `acted`.
    """

    def __init__(
        self,
        name: str,
        places: int,
        who: str,
        start: int,
        terms: Terms,
        voters: Voters,
        random: Random,
        idle: float = inf,
    ) -> None:
        self.name = name
        self.terms = terms
        self.idle = idle
        self.claimants = [
            Claimant(lease, who, start, terms, voters, random) for lease in leases(name, places)
        ]
        self.rank: int | None = None
        self.held: Claimant | None = None
        self.active = -inf  # when it last acted, or came into office
        self.away = -inf  # it keeps out of the line until then

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        ends = self.active + self.idle if self.held is not None else inf
        return min(*(claimant.due for claimant in self.claimants), ends)

    def act(self, now: float) -> int | None:
        """The epoch to act in; None: it may not. To be asked right before every act."""
        return self.held.act(now) if self.held is not None else None

    def acted(self, now: float) -> None:
        """An act has been done, or there was nothing to do and that was looked after."""
        self.active = max(self.active, now)

    def in_line(self, now: float, rank: int | None) -> list[Out]:
        """Its place in the line from now on; None: it leaves it. One that holds a place stays, unless it is
        None.
        """
        if now < self.away:
            rank = None
        if rank == self.rank:
            return []
        self.rank = rank
        out: list[Out] = []
        for number, claimant in enumerate(self.claimants):
            if self.held is None or rank is None or claimant is self.held:
                out += claimant.want(now, self._rank(number))
        if rank is None:
            self.held = None
        return out

    def _at(self, lease: str) -> list[Claimant]:
        """The one for a place, where there is such a place."""
        return [claimant for claimant in self.claimants if claimant.lease == lease]

    def _rank(self, number: int) -> int | None:
        """Each is first in line for a place of its own, as far as there are enough."""
        if self.rank is None:
            return None
        return self.rank + (number - self.rank) % len(self.claimants)

    def give_back(self, now: float, keep_out: float = 0.0) -> list[Out]:
        """Release what is held, and keep out of the line for so many seconds."""
        self.away = max(self.away, now + keep_out)
        return self.in_line(now, None)

    def free(self, now: float, lease: str, first: bool) -> None:
        if self.held is None:
            for claimant in self._at(lease):
                claimant.free(now, first)

    def heard(self, lease: str, epoch: int) -> None:
        for claimant in self._at(lease):
            claimant.heard(epoch)

    def vote_by(self, now: float, voters: Voters) -> list[Out]:
        """Go by other voters. What is held was granted by the old ones, and is given back."""
        out: list[Out] = []
        for claimant in self.claimants:
            out += claimant.release(now)
            claimant.voters = voters
        self.held = None
        return out

    def tick(self, now: float) -> list[Out]:
        out: list[Out] = []
        if self.held is not None and now >= self.active + self.idle and self.held.holds(now):
            return self.give_back(now, BREAK * self.terms.term)
        for claimant in self.claimants:
            out += claimant.tick(now)
        return out + self._settle(now)

    def hear(self, now: float, voter: str, word: FromVoter) -> list[Out]:
        out: list[Out] = []
        for claimant in self._at(word.lease):
            out += claimant.hear(now, voter, word) + self._settle(now)
        return out

    def _settle(self, now: float) -> list[Out]:
        """One place is enough: once it holds one it leaves the lines for the others, and lines up for all
        again when it has lost it.
        """
        out: list[Out] = []
        if self.held is not None and not self.held.holds(now):
            self.held = None
            for number, claimant in enumerate(self.claimants):
                out += claimant.want(now, self._rank(number))
        if self.held is None:
            holding: Sequence[Claimant] = [c for c in self.claimants if c.holds(now)]
            if holding:
                self.held = holding[0]
                self.active = now
                for claimant in self.claimants:
                    if claimant is not self.held:
                        out += claimant.want(now, None)
        return out
