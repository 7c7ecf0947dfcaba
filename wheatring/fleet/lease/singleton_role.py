"""A singleton role of the fleet: its leases, this sidecar's rank among the candidates, and idle holders.

Performs no I/O; `now` is a reading of the clock on which leases are measured.
"""

from __future__ import annotations

from math import inf
from random import Random
from typing import NamedTuple

from wheatring.fleet.lease.messages import AcceptorResponse
from wheatring.fleet.lease.proposer import AddressedRequest, Proposer
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet

IDLE_EXCLUSION_LEASES = 10.0  # lease lengths for which a holder that was idle is not a candidate


class RoleSettings(NamedTuple):
    """The settings of one role."""

    name: str
    slots: int = 1  # how many sidecars may hold it at the same time
    prefers_zone: bool = False  # candidates in the last holder's zone come first
    idle_seconds: float = inf  # how long it may be held without activity
    on_request: bool = False  # only sidecars that were asked to hold it are candidates
    voters_only: bool = False  # only voters are candidates


class RoleChange(NamedTuple):
    """A role that the sidecar gained or, if there is a `reason`, lost."""

    role: str
    epoch: int
    reason: str = ""


class KnownHolder(NamedTuple):
    """The last known holder of a role's slot and its epoch; "" and 0 if there is none."""

    name: str
    epoch: int


def lease_names(role: str, slots: int) -> list[str]:
    """Return the names of a role's leases, one for each slot."""
    return [f"{role}/{slot}" for slot in range(slots)]


class SingletonRole:
    """One sidecar's candidacy for one slot of a role.

    `idle_seconds` is how long the role may be held without activity. After that it is released, and this
    sidecar is not a candidate for `IDLE_EXCLUSION_LEASES`. Activity is reported by `record_activity`.
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
        self.last_active = -inf  # when it was last active, or acquired the role
        self.excluded_until = -inf  # until when it may not be a candidate

    @property
    def due(self) -> float:
        """The time at which `tick` next has work to do."""
        idle_at = self.last_active + self.idle_seconds if self.held_lease is not None else inf
        return min(*(proposer.due for proposer in self.proposers), idle_at)

    def epoch_to_act(self, now: float) -> int | None:
        """Return the epoch to act in, or None; see `Proposer.epoch_to_act`."""
        return self.held_lease.epoch_to_act(now) if self.held_lease is not None else None

    def record_activity(self, now: float) -> None:
        """Record an action of the holder, or a check that found nothing to do."""
        self.last_active = max(self.last_active, now)

    # Candidacy

    def set_rank(self, now: float, rank: int | None) -> list[AddressedRequest]:
        """Set the rank among the candidates; None ends the candidacy and releases a held lease.

        Other ranks do not affect a held lease.
        """
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
        """Return the rank for one slot, rotated so that each slot has another first candidate."""
        if self.rank is None:
            return None
        return self.rank + (slot - self.rank) % len(self.proposers)

    def step_down(self, now: float, exclusion_seconds: float = 0.0) -> list[AddressedRequest]:
        """Release the held lease, and stop being a candidate for `exclusion_seconds`."""
        self.excluded_until = max(self.excluded_until, now + exclusion_seconds)
        return self.set_rank(now, None)

    def change_voters(self, now: float, voters: VoterSet) -> list[AddressedRequest]:
        """Switch to another voter set. A held lease is released, as the previous voters granted it."""
        out: list[AddressedRequest] = []
        for proposer in self.proposers:
            out += proposer.release(now)
            proposer.voters = voters
        self.held_lease = None
        return out

    # Events

    def handle_released(self, now: float, lease: str, is_next: bool) -> None:
        """Handle the last holder's hint that a lease is free."""
        if self.held_lease is None:
            for proposer in self._proposers_for(lease):
                proposer.handle_released(now, is_next)

    def record_epoch(self, lease: str, epoch: int) -> None:
        """Record an epoch of a lease that another member has seen."""
        for proposer in self._proposers_for(lease):
            proposer.record_epoch(epoch)

    def tick(self, now: float) -> list[AddressedRequest]:
        """Step down if the role has been idle for too long, otherwise run the proposers' due actions."""
        out: list[AddressedRequest] = []
        is_idle = now >= self.last_active + self.idle_seconds
        if self.held_lease is not None and is_idle and self.held_lease.holds_lease(now):
            return self.step_down(now, IDLE_EXCLUSION_LEASES * self.timing.lease_seconds)
        for proposer in self.proposers:
            out += proposer.tick(now)
        return out + self._update_held_lease(now)

    def receive(self, now: float, voter: str, message: AcceptorResponse) -> list[AddressedRequest]:
        """Handle an acceptor's response."""
        out: list[AddressedRequest] = []
        for proposer in self._proposers_for(message.lease):
            out += proposer.receive(now, voter, message) + self._update_held_lease(now)
        return out

    def _proposers_for(self, lease: str) -> list[Proposer]:
        """Return the proposer of a lease in a list, empty if the lease is not one of this role's."""
        return [proposer for proposer in self.proposers if proposer.lease == lease]

    def _update_held_lease(self, now: float) -> list[AddressedRequest]:
        """Update which of the role's leases is held.

        A sidecar holds at most one slot: a holder is no candidate for the other slots, and becomes a
        candidate for all of them again when it has lost its lease.
        """
        out: list[AddressedRequest] = []
        if self.held_lease is not None and not self.held_lease.holds_lease(now):
            self.held_lease = None
            for slot, proposer in enumerate(self.proposers):
                out += proposer.set_rank(now, self._rank_for_slot(slot))
        if self.held_lease is not None:
            return out
        held = [proposer for proposer in self.proposers if proposer.holds_lease(now)]
        if held:
            self.held_lease = held[0]
            self.last_active = now
            for proposer in self.proposers:
                if proposer is not self.held_lease:
                    out += proposer.set_rank(now, None)
        return out
