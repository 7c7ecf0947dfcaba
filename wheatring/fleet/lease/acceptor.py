"""An acceptor of leases: promises, grants and forgets. All is in memory; after a start it abstains at first.

Rules that the safety of a lease rests on:

- a promise is never broken within the life of the process, and what a process has forgotten it can't break,
  as it abstains for as long as any round that it took part in may last;
- a grant stands for a complete lease on this clock, from when its round first arrived, and nobody else is
  promised anything meanwhile;
- acceptors grant only to those who go by the same voters.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from wheatring.fleet.lease.messages import (
    NO_PROPOSAL,
    Accepted,
    AcceptorRequest,
    AcceptorResponse,
    Prepare,
    Promise,
    ProposalNumber,
    Propose,
    Rejection,
    Release,
)
from wheatring.fleet.lease.timing import LeaseTiming
from wheatring.fleet.lease.voters import VoterSet


class Grant(NamedTuple):
    """A lease as an acceptor has granted it."""

    proposal: ProposalNumber
    epoch: int
    remaining_seconds: float


class _LeaseState:
    """What the acceptor has promised and granted of one lease."""

    __slots__ = ("epoch", "held_until", "holder", "promised", "round")

    def __init__(self) -> None:
        self.promised = NO_PROPOSAL
        self.holder = NO_PROPOSAL
        self.held_until = 0.0
        self.epoch = 0
        self.round = 0  # that was granted last


class Acceptor:
    """Grants the leases of all roles' slots; a message on any other lease isn't answered.

    Parameters
    ----------
    now : float
        Seconds on the clock that leases are measured on.
    leases : collection of str
        The names of all leases there are.
    """

    def __init__(self, now: float, timing: LeaseTiming, voters: VoterSet, leases: Collection[str]) -> None:
        self.timing = timing
        self.voters = voters
        self.abstains_until = now + timing.abstain_seconds
        self.leases = {lease: _LeaseState() for lease in leases}
        self.voters_in_force = 0  # digest of the voters by whom a lease has been granted, as far as was seen

    def receive(self, now: float, wall: int, message: AcceptorRequest) -> AcceptorResponse | None:
        """Handle a request and return the answer; None: there is none.

        Parameters
        ----------
        now : float
            Seconds on the clock that leases are measured on.
        wall : int
            Unix time in milliseconds. It orders epochs where all that knew the last one are gone, and
            decides nothing else.
        message : AcceptorRequest
            The request, from whichever member.
        """
        state = self.leases.get(message.lease)
        if state is None or message.voters_digest != self.voters.digest:
            if isinstance(message, Release) or state is None:
                return None
            return Rejection(*_header(message), "voters", self.timing.lease_seconds)
        match message:
            case Release():
                # A late one, of a lease that the same process held earlier, must not end this one.
                if state.holder.process == message.proposal.process and state.holder <= message.proposal:
                    state.held_until = now
                return None
            case Prepare():
                return self._rejection(now, state, message) or self._promise(state, wall, message)
            case Propose():
                return self._rejection(now, state, message) or self._accept(now, state, message)

    def _rejection(self, now: float, state: _LeaseState, message: Prepare | Propose) -> Rejection | None:
        """Return why neither a promise nor a grant is given; None: one may be."""
        if now < self.abstains_until:
            return Rejection(*_header(message), "starting", self.abstains_until - now)
        if now < state.held_until and state.holder.process != message.proposal.process:
            left = state.held_until - now
            return Rejection(*_header(message), "held", left, holder=state.holder, epoch=state.epoch)
        if message.proposal < state.promised:
            retry = self.timing.retransmit_seconds
            return Rejection(*_header(message), "passed", retry, promised_number=state.promised.number)
        return None

    def _promise(self, state: _LeaseState, wall: int, message: Prepare) -> Promise:
        state.promised = message.proposal
        return Promise(*_header(message), max(state.epoch, wall))

    def _accept(self, now: float, state: _LeaseState, message: Propose) -> AcceptorResponse:
        if message.lease_seconds > self.timing.lease_seconds:
            return Rejection(*_header(message), "voters", self.timing.lease_seconds)
        if now >= state.held_until or (state.holder, state.round) != (message.proposal, message.round):
            # A retransmission is the same grant, and lasts no longer.
            state.held_until = now + self.timing.lease_seconds
        state.promised = state.holder = message.proposal
        state.round = message.round
        state.epoch = max(state.epoch, message.epoch)
        if message.is_renewal:
            self.voters_in_force = message.voters_digest
        return Accepted(*_header(message))

    def owner_of(self, now: float, lease: str) -> Grant | None:
        """Return the grant by which a lease is held; None: nobody holds it by this acceptor."""
        state = self.leases[lease]
        if now >= state.held_until:
            return None
        return Grant(state.holder, state.epoch, state.held_until - now)

    def change_voters(self, now: float, voters: VoterSet, adopted_elsewhere: bool = False) -> str:
        """Go by other voters from now on, and abstain anew: an earlier grant may stand for a lease yet.

        Parameters
        ----------
        now : float
            Seconds on the clock that leases are measured on.
        voters : VoterSet
            The voters to go by.
        adopted_elsewhere : bool
            Another sidecar goes by them already, so it has seen a lease in force by the step before. A
            sidecar that doesn't vote, or was late, may never see one itself.

        Returns
        -------
        str
            Why the change is rejected; "": it is made.
        """
        if voters == self.voters:
            return ""
        in_force = self.voters.digest if adopted_elsewhere else self.voters_in_force
        if objection := self.voters.objection_to(voters, in_force):
            return objection
        self.voters = voters
        self.abstains_until = now + self.timing.abstain_seconds
        return ""


def _header(message: AcceptorRequest) -> tuple[str, ProposalNumber, int]:
    """Return the fields that an answer repeats of its request."""
    return message.lease, message.proposal, message.round
