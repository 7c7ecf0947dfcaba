"""Messages between proposers and acceptors of leases.

They carry durations rather than points in time, because the clocks of the processes differ. All are encoded
as msgpack arrays: their tags and the order of their fields are the wire format.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from msgspec import Struct


class ProposalNumber(NamedTuple):
    """The number of a proposal (a ballot in Paxos), made unique by the identity of the proposing process."""

    number: int
    proposer: str
    incarnation: int  # the incarnation of the proposing process: after a restart it is another proposer

    @property
    def process(self) -> tuple[str, int]:
        """The proposing process: its name and incarnation."""
        return self.proposer, self.incarnation


NO_PROPOSAL = ProposalNumber(0, "", 0)


class LeaseMessage(Struct, frozen=True, array_like=True, tag_field="w"):
    """The common fields of all messages about a lease.

    `round` distinguishes responses to the current round of a proposal from late ones to an earlier round.
    """

    lease: str
    proposal: ProposalNumber
    round: int


class Prepare(LeaseMessage, frozen=True, tag="ask"):
    """Proposer to acceptor: promise not to accept a proposal with a lower number."""

    voters_digest: int  # the digest of the proposer's voter set


class Propose(LeaseMessage, frozen=True, tag="claim"):
    """Proposer to acceptor: accept this lease."""

    voters_digest: int
    epoch: int
    lease_seconds: float
    is_renewal: bool = False  # extends a lease that a majority has already granted


class Release(LeaseMessage, frozen=True, tag="release"):
    """Holder to acceptor: the lease is released."""

    voters_digest: int


class Promise(LeaseMessage, frozen=True, tag="promise"):
    """Acceptor to proposer: the response to `Prepare`."""

    epoch: int  # the highest epoch that the acceptor knows; a new lease needs a higher one


class Accepted(LeaseMessage, frozen=True, tag="grant"):
    """Acceptor to proposer: the lease is granted."""


class Rejection(LeaseMessage, frozen=True, tag="refusal"):
    """Acceptor to proposer: the request was neither promised nor granted."""

    reason: Literal["held", "passed", "starting", "voters"]
    retry_after_seconds: float = 0.0
    promised_number: int = 0  # for "passed": the number of the proposal that was promised
    holder: ProposalNumber = NO_PROPOSAL  # for "held": the holder's proposal
    epoch: int = 0  # for "held": the epoch of the holder's lease


AcceptorRequest = Prepare | Propose | Release
AcceptorResponse = Promise | Accepted | Rejection


class LeaseReleased(Struct, frozen=True, array_like=True, tag_field="w", tag="free"):
    """Last holder to the candidates: the lease is free, and `next_holder` is to take it.

    This is only a hint when to send a prepare request: the acceptors decide whether the lease is free.
    """

    lease: str
    epoch: int
    next_holder: str = ""


class Heartbeat(Struct, frozen=True, array_like=True, tag_field="w", tag="beat"):
    """Holder of the role `list` to all members: the generation and age of its endpoint list."""

    role: str
    epoch: int
    sequence: int
    generation: int
    withdrawn: tuple[str, ...] = ()  # nodes that are draining or have left according to that list
    age_seconds: float = 0.0  # the time since the list reached this generation
    to: tuple[str, ...] = ()  # members to which the receiver relays the message
