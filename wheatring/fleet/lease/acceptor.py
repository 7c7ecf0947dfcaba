"""The acceptor of leases: answers prepare and propose requests from state that is kept in memory only.

The acceptor's part of the safety argument:

- A promise is never broken while the process lives. A restarted process has lost its promises, so it
  abstains for as long as any round in which it may have taken part can last.
- A grant lasts for a full lease on this process's clock, from the first arrival of its round. Until then no
  other process gets a promise.
- Acceptors grant only to proposers that have the same voter set.
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
    """A lease that an acceptor has granted."""

    proposal: ProposalNumber
    epoch: int
    remaining_seconds: float


class _LeaseState:
    """What the acceptor has promised and granted for one lease."""

    __slots__ = ("epoch", "held_until", "holder", "promised", "round")

    def __init__(self) -> None:
        self.promised = NO_PROPOSAL
        self.holder = NO_PROPOSAL
        self.held_until = 0.0
        self.epoch = 0
        self.round = 0  # the round that was granted last


class Acceptor:
    """Grants the leases of the slots of all roles; requests for unknown leases are ignored.

    Parameters
    ----------
    now : float
        Seconds on the clock that leases are measured on.
    leases : collection of str
        The names of all leases.
    """

    def __init__(self, now: float, timing: LeaseTiming, voters: VoterSet, leases: Collection[str]) -> None:
        self.timing = timing
        self.voters = voters
        self.abstains_until = now + timing.abstain_seconds
        self.leases = {lease: _LeaseState() for lease in leases}
        self.voters_in_force = 0  # digest of the voter set that granted the last lease whose renewal was seen

    def receive(self, now: float, wall: int, message: AcceptorRequest) -> AcceptorResponse | None:
        """Handle a request and return the response, or None if there is none.

        Parameters
        ----------
        now : float
            Seconds on the clock that leases are measured on.
        wall : int
            Unix time in milliseconds. Used only as a lower bound for new epochs, so that they still increase
            when no process remembers the last one.
        message : AcceptorRequest
            The request of any member.
        """
        state = self.leases.get(message.lease)
        if state is None or message.voters_digest != self.voters.digest:
            if isinstance(message, Release) or state is None:
                return None
            return Rejection(*_response_header(message), "voters", self.timing.lease_seconds)
        match message:
            case Release():
                # A delayed release of an earlier lease of the same process must not end the current one.
                if state.holder.process == message.proposal.process and state.holder <= message.proposal:
                    state.held_until = now
                return None
            case Prepare():
                return self._rejection(now, state, message) or self._promise(state, wall, message)
            case Propose():
                return self._rejection(now, state, message) or self._accept(now, state, message)

    def _rejection(self, now: float, state: _LeaseState, message: Prepare | Propose) -> Rejection | None:
        """Return the rejection of a request, or None if it may be promised or granted."""
        if now < self.abstains_until:
            return Rejection(*_response_header(message), "starting", self.abstains_until - now)
        if now < state.held_until and state.holder.process != message.proposal.process:
            remaining = state.held_until - now
            return Rejection(
                *_response_header(message), "held", remaining, holder=state.holder, epoch=state.epoch
            )
        if message.proposal < state.promised:
            retry = self.timing.retransmit_seconds
            return Rejection(
                *_response_header(message), "passed", retry, promised_number=state.promised.number
            )
        return None

    def _promise(self, state: _LeaseState, wall: int, message: Prepare) -> Promise:
        state.promised = message.proposal
        return Promise(*_response_header(message), max(state.epoch, wall))

    def _accept(self, now: float, state: _LeaseState, message: Propose) -> AcceptorResponse:
        if message.lease_seconds > self.timing.lease_seconds:
            return Rejection(*_response_header(message), "voters", self.timing.lease_seconds)
        if now >= state.held_until or (state.holder, state.round) != (message.proposal, message.round):
            # A retransmission of the same round does not extend the grant.
            state.held_until = now + self.timing.lease_seconds
        state.promised = state.holder = message.proposal
        state.round = message.round
        state.epoch = max(state.epoch, message.epoch)
        if message.is_renewal:
            self.voters_in_force = message.voters_digest
        return Accepted(*_response_header(message))

    def current_grant(self, now: float, lease: str) -> Grant | None:
        """Return this acceptor's unexpired grant of a lease, or None if there is none."""
        state = self.leases[lease]
        if now >= state.held_until:
            return None
        return Grant(state.holder, state.epoch, state.held_until - now)

    def change_voters(self, now: float, voters: VoterSet, adopted_elsewhere: bool = False) -> str:
        """Switch to another voter set, and abstain for a lease, as an earlier grant may still be valid.

        Parameters
        ----------
        now : float
            Seconds on the clock that leases are measured on.
        voters : VoterSet
            The new voter set.
        adopted_elsewhere : bool
            Whether another sidecar already uses the new voter set, which means that it has seen a lease
            granted under the previous step. A sidecar that does not vote, or was reloaded late, may never
            see such a lease itself.

        Returns
        -------
        str
            The reason why the change is rejected, or "" if it was made.
        """
        if voters == self.voters:
            return ""
        in_force = self.voters.digest if adopted_elsewhere else self.voters_in_force
        if objection := self.voters.objection_to(voters, in_force):
            return objection
        self.voters = voters
        self.abstains_until = now + self.timing.abstain_seconds
        return ""


def _response_header(message: AcceptorRequest) -> tuple[str, ProposalNumber, int]:
    """Return the fields that a response copies from its request."""
    return message.lease, message.proposal, message.round
