"""A singleton role of the fleet: its leases, this sidecar's rank among the candidates, and idle holders.

No I/O: `now` is on the clock that leases are measured on.
"""

from __future__ import annotations

from math import inf
from random import Random
from typing import NamedTuple

from wheatring.fleet.lease.messages import AcceptorResponse
from wheatring.fleet.lease.proposer import AddressedRequest, Proposer
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet

IDLE_EXCLUSION_LEASES = 10.0  # lease lengths for which a holder that did nothing is no candidate


class RoleSettings(NamedTuple):
    """One role as the configuration names it."""

    name: str
    slots: int = 1  # how many sidecars may hold it at the same time
    prefers_zone: bool = False  # candidates in the last holder's zone come first
    idle_seconds: float = inf  # for which it may be held with nothing done
    on_request: bool = False  # only sidecars that are told to are candidates
    voters_only: bool = False  # only voters are


class RoleChange(NamedTuple):
    """A role came to this sidecar, or, with a `reason`, went from it."""

    role: str
    epoch: int
    reason: str = ""


class KnownOwner(NamedTuple):
    """Who holds or last held a slot of a role, as far as was heard; "" and 0: nobody."""

    name: str
    epoch: int


def lease_names(role: str, slots: int) -> list[str]:
    """Return the names of a role's leases, one for each slot."""
    return [f"{role}/{slot}" for slot in range(slots)]


class SingletonRole:
    """One sidecar's bid for one slot of a role.

    `idle_seconds` is for how long the role may be held without an act; then it is given back, and left to
    others for a while. Acts are reported by `note_activity`.
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
        self.last_active = -inf  # when it last acted, or came to hold the role
        self.excluded_until = -inf  # it is no candidate until then

    @property
    def due(self) -> float:
        """When `tick` has something to do."""
        idle_at = self.last_active + self.idle_seconds if self.held_lease is not None else inf
        return min(*(proposer.due for proposer in self.proposers), idle_at)

    def epoch_to_act(self, now: float) -> int | None:
        """Return the epoch to act in; None: it may not act. To be asked right before every act."""
        return self.held_lease.epoch_to_act(now) if self.held_lease is not None else None

    def note_activity(self, now: float) -> None:
        """Take note of an act, or that there was nothing to do and that was checked."""
        self.last_active = max(self.last_active, now)

    # Candidacy

    def set_rank(self, now: float, rank: int | None) -> list[AddressedRequest]:
        """Set its rank among the candidates. A holder stays one, unless it is None: no candidate."""
        if now < self.excluded_until:
            rank = None
        if rank == self.rank:
            return []
        self.rank = rank
        out: list[AddressedRequest] = []
        for slot, proposer in enumerate(self.proposers):
            if self.held_lease is None or rank is None or proposer is self.held_lease:
                out += proposer.set_rank(now, self._rank_for_slot(slot))
        if rank is None:
            self.held_lease = None
        return out

    def _rank_for_slot(self, slot: int) -> int | None:
        """Return its rank for one slot: each candidate is first for one of its own, if there are enough."""
        if self.rank is None:
            return None
        return self.rank + (slot - self.rank) % len(self.proposers)

    def step_down(self, now: float, exclusion_seconds: float = 0.0) -> list[AddressedRequest]:
        """Release what is held, and be no candidate for so many seconds."""
        self.excluded_until = max(self.excluded_until, now + exclusion_seconds)
        return self.set_rank(now, None)

    def change_voters(self, now: float, voters: VoterSet) -> list[AddressedRequest]:
        """Go by other voters. What is held was granted by the old ones, and is given back."""
        out: list[AddressedRequest] = []
        for proposer in self.proposers:
            out += proposer.release(now)
            proposer.voters = voters
        self.held_lease = None
        return out

    # Events

    def note_released(self, now: float, lease: str, is_next: bool) -> None:
        """Take note that a lease is free by what its last holder says."""
        if self.held_lease is None:
            for proposer in self._proposers_for(lease):
                proposer.note_released(now, is_next)

    def note_epoch(self, lease: str, epoch: int) -> None:
        """Take note of an epoch that somebody has seen of a lease."""
        for proposer in self._proposers_for(lease):
            proposer.note_epoch(epoch)

    def tick(self, now: float) -> list[AddressedRequest]:
        """Do what is due, and step down where nothing was done for too long."""
        out: list[AddressedRequest] = []
        is_idle = now >= self.last_active + self.idle_seconds
        if self.held_lease is not None and is_idle and self.held_lease.owns_lease(now):
            return self.step_down(now, IDLE_EXCLUSION_LEASES * self.timing.lease_seconds)
        for proposer in self.proposers:
            out += proposer.tick(now)
        return out + self._update_owned_lease(now)

    def receive(self, now: float, voter: str, message: AcceptorResponse) -> list[AddressedRequest]:
        """Handle an acceptor's answer."""
        out: list[AddressedRequest] = []
        for proposer in self._proposers_for(message.lease):
            out += proposer.receive(now, voter, message) + self._update_owned_lease(now)
        return out

    def _proposers_for(self, lease: str) -> list[Proposer]:
        """Return the proposer of a lease, if it is one of this role's."""
        return [proposer for proposer in self.proposers if proposer.lease == lease]

    def _update_owned_lease(self, now: float) -> list[AddressedRequest]:
        """Note which lease is held: one is enough.

        A holder stops bidding for the other slots, and bids for all again when it has lost its lease.
        """
        out: list[AddressedRequest] = []
        if self.held_lease is not None and not self.held_lease.owns_lease(now):
            self.held_lease = None
            for slot, proposer in enumerate(self.proposers):
                out += proposer.set_rank(now, self._rank_for_slot(slot))
        if self.held_lease is not None:
            return out
        held = [proposer for proposer in self.proposers if proposer.owns_lease(now)]
        if held:
            self.held_lease = held[0]
            self.last_active = now
            for proposer in self.proposers:
                if proposer is not self.held_lease:
                    out += proposer.set_rank(now, None)
        return out
