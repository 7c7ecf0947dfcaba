"""A duty of one sidecar: its places, its turn in the line for them, and whether it does what it took.

No I/O: `now` is on the clock that terms are measured on.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import inf
from random import Random

from wheatring.lease.messages import AcceptorResponse
from wheatring.lease.proposer import AddressedRequest, Proposer
from wheatring.lease.timing import LeaseTiming
from wheatring.lease.voters import VoterSet

IDLE_EXCLUSION_LEASES = 10.0  # terms for which one that held the duty and did nothing keeps out of the line


def lease_names(name: str, slots: int) -> list[str]:
    """The names of a duty's places."""
    return [f"{name}/{number}" for number in range(slots)]


class SingletonRole:
    """`idle` is for how long it may be held with no act done: then it is given back, and left to others for a
    while. Acts are reported by `acted`.
    """

    def __init__(
        self,
        name: str,
        slots: int,
        member: str,
        incarnation: int,
        timing: LeaseTiming,
        voters: VoterSet,
        random: Random,
        idle_seconds: float = inf,
    ) -> None:
        self.name = name
        self.timing = timing
        self.idle_seconds = idle_seconds
        self.proposers = [
            Proposer(lease, member, incarnation, timing, voters, random) for lease in lease_names(name, slots)
        ]
        self.rank: int | None = None
        self.held_lease: Proposer | None = None
        self.last_active = -inf  # when it last acted, or came into office
        self.excluded_until = -inf  # it keeps out of the line until then

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        ends = self.last_active + self.idle_seconds if self.held_lease is not None else inf
        return min(*(claimant.due for claimant in self.proposers), ends)

    def epoch_to_act(self, now: float) -> int | None:
        """The epoch to act in; None: it may not. To be asked right before every act."""
        return self.held_lease.epoch_to_act(now) if self.held_lease is not None else None

    def note_activity(self, now: float) -> None:
        """An act has been done, or there was nothing to do and that was looked after."""
        self.last_active = max(self.last_active, now)

    def set_rank(self, now: float, rank: int | None) -> list[AddressedRequest]:
        """Its place in the line from now on; None: it leaves it. One that holds a place stays, unless it is
        None.
        """
        if now < self.excluded_until:
            rank = None
        if rank == self.rank:
            return []
        self.rank = rank
        out: list[AddressedRequest] = []
        for number, claimant in enumerate(self.proposers):
            if self.held_lease is None or rank is None or claimant is self.held_lease:
                out += claimant.set_rank(now, self._rank_for_slot(number))
        if rank is None:
            self.held_lease = None
        return out

    def _proposers_for(self, lease: str) -> list[Proposer]:
        """The one for a place, where there is such a place."""
        return [claimant for claimant in self.proposers if claimant.lease == lease]

    def _rank_for_slot(self, number: int) -> int | None:
        """Each is first in line for a place of its own, as far as there are enough."""
        if self.rank is None:
            return None
        return self.rank + (number - self.rank) % len(self.proposers)

    def step_down(self, now: float, exclusion_seconds: float = 0.0) -> list[AddressedRequest]:
        """Release what is held, and keep out of the line for so many seconds."""
        self.excluded_until = max(self.excluded_until, now + exclusion_seconds)
        return self.set_rank(now, None)

    def note_released(self, now: float, lease: str, is_next: bool) -> None:
        if self.held_lease is None:
            for claimant in self._proposers_for(lease):
                claimant.note_released(now, is_next)

    def note_epoch(self, lease: str, epoch: int) -> None:
        for claimant in self._proposers_for(lease):
            claimant.note_epoch(epoch)

    def change_voters(self, now: float, voters: VoterSet) -> list[AddressedRequest]:
        """Go by other voters. What is held was granted by the old ones, and is given back."""
        out: list[AddressedRequest] = []
        for claimant in self.proposers:
            out += claimant.release(now)
            claimant.voters = voters
        self.held_lease = None
        return out

    def tick(self, now: float) -> list[AddressedRequest]:
        out: list[AddressedRequest] = []
        if (
            self.held_lease is not None
            and now >= self.last_active + self.idle_seconds
            and self.held_lease.is_holder(now)
        ):
            return self.step_down(now, IDLE_EXCLUSION_LEASES * self.timing.lease_seconds)
        for claimant in self.proposers:
            out += claimant.tick(now)
        return out + self._update_held_lease(now)

    def receive(self, now: float, voter: str, word: AcceptorResponse) -> list[AddressedRequest]:
        out: list[AddressedRequest] = []
        for claimant in self._proposers_for(word.lease):
            out += claimant.receive(now, voter, word) + self._update_held_lease(now)
        return out

    def _update_held_lease(self, now: float) -> list[AddressedRequest]:
        """One place is enough: once it holds one it leaves the lines for the others, and lines up for all
        again when it has lost it.
        """
        out: list[AddressedRequest] = []
        if self.held_lease is not None and not self.held_lease.is_holder(now):
            self.held_lease = None
            for number, claimant in enumerate(self.proposers):
                out += claimant.set_rank(now, self._rank_for_slot(number))
        if self.held_lease is None:
            holding: Sequence[Proposer] = [c for c in self.proposers if c.is_holder(now)]
            if holding:
                self.held_lease = holding[0]
                self.last_active = now
                for claimant in self.proposers:
                    if claimant is not self.held_lease:
                        out += claimant.set_rank(now, None)
        return out
